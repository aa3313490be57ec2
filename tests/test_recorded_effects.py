"""The forwarder's reducer asks for what it asked for when its effects were recorded.

The events in `tests/recorded_effects/` and the digests of the effects were written by the version before the
reducer was split (`tests/reducer_days.py`). A change that is to alter effects records them anew and says which.
"""

from __future__ import annotations

import gzip
import json
from pathlib import Path
from typing import Any

import pytest

from juniperward.forwarder.reducer import Reducer
from tests.reducer_codec import decode, digest, encode
from tests.reducer_days import DAYS, make_reducer

FOLDER = Path(__file__).parent / "recorded_effects"


def recorded_rounds(name: str) -> list[list[Any]]:
    """The rounds of a recorded day: time in seconds, events, digest of the effects."""
    text = gzip.decompress((FOLDER / f"{name}.jsonl.gz").read_bytes()).decode()
    return [json.loads(line) for line in text.splitlines()]


@pytest.mark.parametrize("name", sorted(DAYS))
def test_effects_equal_the_recorded_ones(name: str) -> None:
    rounds = recorded_rounds(name)
    assert len(rounds) >= 500
    reducer: Reducer | None = None
    for number, (now, events, expected) in enumerate(rounds):
        if "Start" in events[0]:
            seed, kept = events[0]["Start"]
            reducer = make_reducer(DAYS[name], seed, frozenset(kept))
            continue
        assert reducer is not None
        effects = encode(reducer.reduce(now, [decode(event) for event in events]))
        assert digest(effects) == expected, f"round {number} at {now}: {events}: {effects}"
