"""The simulator's adapter: answers to small batches, and errors for malformed input."""

from __future__ import annotations

import io
import json
import re
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest

from juniperward.simulator_adapter.adapter import serve
from juniperward.simulator_adapter.errors import WireError

ROOT = Path(__file__).parent.parent
CONFIG: dict[str, Any] = {
    "Services": [{"AimMs": 2000.0, "DeadlineMs": 9000.0, "Effect": "repeatable", "New": 1}],
    "Limits": {"MaxOpen": 50, "MaxAttempts": 4, "RetryAfter": True, "MaxRetryAfterMs": 2000.0},
    "Specifics": {"MaxCalls": 6, "BatchByKind": [1], "LosesWorth": "by_half"},
    "Invariants": {"AnswerSlackMs": 20.0},
    "Kinds": ["any"],
    "ResolutionMs": 5.0,
    "Unheard": {"x": 1},
}
CATALOG = {
    "Catalog": {"Slot": 3, "Hosts": [{"Locality": 0, "Endpoint": 77, "Flavor": 0, "Phase": 1, "Cell": 5}]}
}


def start_events(instance: str, config: dict[str, Any] | None = None) -> list[dict[str, Any]]:
    return [
        {"Configure": {"Who": instance, "Entropy": 1, "Config": config or CONFIG}},
        CATALOG,
        {"Fleet": {"Who": instance, "Scope": 2, "Generation": 1, "Slot": 3}},
    ]


def run_batches(*batches: tuple[float, list[dict[str, Any]]]) -> list[list[dict[str, Any]]]:
    """Return the answers to each batch, which is a time in milliseconds and events."""
    lines = []
    for turn, (time_ms, events) in enumerate(batches):
        for event in [{"Mark": {"TimeMs": time_ms, "turn": turn}}, *events, {"Go": {}}]:
            lines.append(json.dumps(event) + "\n")
    sink = io.StringIO()
    serve(io.StringIO("".join(lines)), sink)
    replies: list[list[dict[str, Any]]] = [[]]
    for text in sink.getvalue().splitlines():
        replies[-1].append(json.loads(text))
        if "Eor" in replies[-1][-1]:
            replies.append([])
    return replies[:-1]


def message_event(instance: str, number: int) -> dict[str, Any]:
    fields = {"Who": instance, "Corr": number, "Qos": 0, "BudgetMs": 9000.0, "ToExchange": 5, "Odd": True}
    return {"Query": fields}


def answers_named(reply: list[dict[str, Any]], name: str) -> list[dict[str, Any]]:
    """Return the fields of the answers of one name."""
    return [line[name] for line in reply if name in line]


def test_an_empty_batch_gets_an_empty_reply() -> None:
    assert run_batches((0.0, [])) == [[{"Eor": {"turn": 0}}]]


def test_a_message_is_sent_by_its_own_instance_only() -> None:
    replies = run_batches(
        (10.0, start_events("node/0") + start_events("node/1")), (15.0, [message_event("node/1", 4)])
    )
    assert answers_named(replies[1], "Send") == [
        {"Who": "node/1", "Corr": 4, "Endpoint": 77, "TimeoutMs": 9000.0}
    ]
    assert replies[1][-1] == {"Eor": {"turn": 1}}


def test_a_killed_instance_loses_its_pending_messages() -> None:
    replies = run_batches(
        (10.0, start_events("node/0")),
        (15.0, [message_event("node/0", 4), {"Exit": {"Who": "node/0"}}]),
        (20.0, [{"TickDue": {"Who": "node/0", "Nonce": 1}}]),
    )
    assert replies[1] == [{"Eor": {"turn": 1}}] and replies[2] == [{"Eor": {"turn": 2}}]


def test_events_for_messages_not_pending_are_ignored() -> None:
    events = [
        {"Withdrawn": {"Who": "node/0", "Corr": 9}},
        {"TickDue": {"Who": "node/0", "Nonce": 99}},
        {"Probed": {"Who": "node/0", "Status": 1, "DelaySeenMs": 1.0, "Endpoint": 1}},
        {"Accepted": {"Who": "node/0", "Corr": 9, "SendNo": 0, "Endpoint": 77, "DelaySeenMs": 1.0}},
        {
            "Settled": {
                "Who": "node/0",
                "Corr": 9,
                "SendNo": 0,
                "Endpoint": 77,
                "Status": 3,
                "DelaySeenMs": 1.0,
            }
        },
    ]
    replies = run_batches((10.0, start_events("node/0")), (15.0, events))
    assert [line for line in replies[1] if "After" not in line] == [{"Eor": {"turn": 1}}]


def test_invalid_settings_are_reported_with_their_key() -> None:
    invalid = {**CONFIG, "Specifics": {**CONFIG["Specifics"], "MaxCalls": -1}}
    (reply,) = run_batches((10.0, start_events("node/0", invalid)))
    assert "Specifics.MaxCalls" in answers_named(reply, "Die")[0]["NoteText"]


def test_an_error_in_the_scheduler_is_reported(monkeypatch: pytest.MonkeyPatch) -> None:
    fault = IndexError("no such place")

    def broken(*_args: object) -> None:
        raise fault

    monkeypatch.setattr("juniperward.scheduler.DeliveryScheduler.handle", broken)
    (reply,) = run_batches((10.0, start_events("node/0")))
    assert "no such place" in answers_named(reply, "Die")[0]["NoteText"]


@pytest.mark.parametrize(
    "text",
    [
        "nonsense\n",
        '{"Go":{}}\n',
        '{"Mark":{"TimeMs":1,"turn":1}}\n',
        '{"Mark":{"TimeMs":1,"turn":1}}\n{"Nonesuch":{"Who":"node/0"}}\n{"Go":{}}\n',
    ],
)
def test_malformed_input_is_an_error_without_a_partial_reply(text: str) -> None:
    sink = io.StringIO()
    with pytest.raises(WireError):
        serve(io.StringIO(text), sink)
    assert sink.getvalue() == ""
    process = subprocess.run(
        [sys.executable, "-m", "juniperward.simulator_adapter"],
        input=text,
        text=True,
        capture_output=True,
        cwd=ROOT,
        check=False,
    )
    assert process.returncode != 0 and process.stdout == "" and len(process.stderr.splitlines()) == 1


def test_the_example_in_the_readme_prints_the_output_shown_there() -> None:
    text = (ROOT / "README.md").read_text()
    code = re.search(r"<!-- example -->\n```python\n(.*?)```", text, re.S)
    shown = re.search(r"<!-- output -->\n```text\n(.*?)```", text, re.S)
    assert code and shown
    process = subprocess.run(
        [sys.executable, "-c", code[1]], text=True, capture_output=True, cwd=ROOT, check=True
    )
    assert process.stdout == shown[1]
