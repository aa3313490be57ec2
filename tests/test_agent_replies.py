"""The JSON of the agent's replies has the documented keys of the API, however the fields are named."""

from __future__ import annotations

import json

import msgspec

from juniperward.agent import views
from juniperward.agent.replies import AgentRow, DoneReply, SettingsReply
from tests.agent_world import World


def test_the_status_has_the_keys_of_the_api() -> None:
    world = World()
    world.configuration_version = "b"
    world.configure()
    assert world.request("roll").status == 200
    body = json.loads(msgspec.json.encode(views.status(world.reducer.state, world.now)))
    assert list(body) == ["edition", "instances", "ready", "wanted", "service", "roll"]
    assert list(body["service"]) == ["good", "bad", "share", "seconds"]
    assert list(body["instances"][0]) == [
        "name", "state", "wanted", "why", "pid", "up", "edition", "stale", "crashes", "age", "held", "owing",
        "calls_out", "slots", "taken_on", "delivered", "calls_failed", "given_up", "turned_away", "sick", "broken",
        "oldest_held", "journal_bytes", "registry_age",
    ]  # fmt: skip
    assert list(body["roll"]) == [
        "id", "mode", "why", "target", "at_once", "floor", "baseline", "over", "steps",
    ]  # fmt: skip
    assert list(body["roll"]["steps"][0]) == ["instance", "stage", "note", "before"]


def test_an_instance_without_an_answer_has_the_same_keys() -> None:
    world = World()
    with_answer = world.request("status").body["instances"][0]
    world.exit_process("n0", "signal 9")
    world.step()
    without_answer = world.request("status").body["instances"][0]
    assert list(without_answer) == list(with_answer)
    assert without_answer["held"] is None and without_answer["state"] == "stopped"


def test_other_replies_have_the_keys_of_the_api() -> None:
    agent = AgentRow("f", "f.textproto", 1, 2.0, 0.5, 1024, 9)
    assert list(msgspec.to_builtins(agent)) == [
        "name", "file", "pid", "up", "cpu_seconds", "resident_bytes", "threads",
    ]  # fmt: skip
    assert msgspec.to_builtins(SettingsReply("e1")) == {"edition": "e1"}
    assert msgspec.to_builtins(SettingsReply("e1", False)) == {"edition": "e1", "changed": False}
    assert msgspec.to_builtins(DoneReply("shutdown")) == {"done": "shutdown"}
    assert msgspec.json.encode(DoneReply("drain", ("n1",))) == b'{"done":"drain","instances":["n1"]}'
