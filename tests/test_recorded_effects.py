"""The reducer returns the effects that an earlier version returned for the same recorded events."""

from __future__ import annotations

import gzip
import json
from pathlib import Path
from typing import Any

import pytest

from juniperward.forwarder.reducer import Reducer
from tests.reducer_codec import decode, digest, encode
from tests.reducer_days import RUNS, make_reducer

# If a change alters effects on purpose, record again with `tests/reducer_days.py`, and say which in the commit.
FOLDER = Path(__file__).parent / "recorded_effects"


def recorded_rounds(name: str) -> list[list[Any]]:
    """Return the rounds of a recorded run: time in seconds, events, digest of the effects."""
    text = gzip.decompress((FOLDER / f"{name}.jsonl.gz").read_bytes()).decode()
    return [json.loads(line) for line in text.splitlines()]


@pytest.mark.parametrize("name", sorted(RUNS))
def test_effects_equal_the_recorded_ones(name: str) -> None:
    rounds = recorded_rounds(name)
    assert len(rounds) >= 500
    reducer: Reducer | None = None
    for number, (now, events, expected) in enumerate(rounds):
        if "Start" in events[0]:
            seed, stored_ids = events[0]["Start"]
            reducer = make_reducer(RUNS[name], seed, frozenset(stored_ids))
            continue
        assert reducer is not None
        effects = encode(reducer.reduce(now, [decode(event) for event in events]))
        assert digest(effects) == expected, f"round {number} at {now}: {events}: {effects}"
