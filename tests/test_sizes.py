"""1,024 forwarders and 1,024 endpoints pass through the settings, the endpoint list's codec and the scheduler."""

from __future__ import annotations

from pathlib import Path

import pytest

from juniperward.benchmarks.reducer_rig import NAMES, ReducerRig, endpoint_list
from juniperward.forwarder.endpoint_list_codec import read_endpoint_list_update
from juniperward.forwarder.events import EndpointsUpdated
from juniperward.forwarder.telemetry import counters
from juniperward.settings.load import load


def test_an_agent_manages_1024_forwarders(tmp_path: Path) -> None:
    # Guards against a limit of instances that is below the supported size of a fleet.
    (tmp_path / "base.json").write_text('{"settings": {}}')
    instances = "".join(f'instance {{ name: "n{n}" listen: "127.0.0.1:{2000 + n}" }}\n' for n in range(1024))
    file = tmp_path / "f.textproto"
    file.write_text('name: "y"\nbase: "base.json"\nregistry: "127.0.0.1:8500"\n' + instances)
    assert len(load(file).instances) == 1024


def test_a_forwarder_accepts_1024_endpoints_in_a_fleet_of_1024_forwarders(subtests: pytest.Subtests) -> None:
    rig = ReducerRig(1024, 1024, 1)
    rig.receive_list()
    state = rig.reducer.state
    assert len(state.directory.endpoints) == 1024
    assert len(rig.reducer.scheduler.state.table.endpoints) == 1024
    for destination in range(20):
        with subtests.test(destination=destination):
            assert destination in state.directory.destinations
    rig.deliver_message()
    assert (state.messages.pending, state.attempts_in_flight) == ({}, {})


def test_an_invalid_endpoint_entry_does_not_affect_the_others() -> None:
    endpoints = endpoint_list(1024)
    invalid = [
        {"id": "x"},
        {**endpoints["servers"][5], "addr": "nowhere"},
        {**endpoints["servers"][6], "cell": None},
        {**endpoints["servers"][7], "state": "Gone?"},
        7,
    ]
    before = counters().get("endpoint_entries_unreadable", 0)
    update = read_endpoint_list_update({**endpoints, "servers": [*invalid, *endpoints["servers"]]}, NAMES)
    assert len(update.endpoints) == 1024
    assert counters()["endpoint_entries_unreadable"] == before + len(invalid)
    rig = ReducerRig(1, 40, 1)
    rig.reduce(EndpointsUpdated(9, True, update.endpoints))
    assert len(rig.reducer.scheduler.state.table.endpoints) == 1024
