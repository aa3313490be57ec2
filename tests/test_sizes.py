"""Lists of 1,024 forwarders and of 1,024 endpoints, through the settings, the list's codec and the scheduler."""

from __future__ import annotations

from pathlib import Path

import pytest

from juniperward.benchmarks.reducer_rig import NAMES, ReducerRig, endpoint_list
from juniperward.forwarder.endpoint_list_codec import read_endpoint_list_update
from juniperward.forwarder.events import EndpointsUpdated
from juniperward.forwarder.telemetry import counters
from juniperward.settings.load import load


def test_an_agent_manages_1024_forwarders(tmp_path: Path) -> None:
    # Guards a cap of 1,000 that rejected the file.
    (tmp_path / "base.json").write_text('{"settings": {}}')
    rows = "".join(f'instance {{ name: "n{n}" listen: "127.0.0.1:{2000 + n}" }}\n' for n in range(1024))
    file = tmp_path / "f.textproto"
    file.write_text('name: "y"\nbase: "base.json"\nregistry: "127.0.0.1:8500"\n' + rows)
    assert len(load(file).instances) == 1024


def test_a_forwarder_knows_1024_servers_beside_1024_forwarders(subtests: pytest.Subtests) -> None:
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


def test_an_unusable_entry_invalidates_no_other() -> None:
    value = endpoint_list(1024)
    unusable = [
        {"id": "x"},
        {**value["servers"][5], "addr": "nowhere"},
        {**value["servers"][6], "cell": None},
        {**value["servers"][7], "state": "Gone?"},
        7,
    ]
    before = counters().get("endpoint_entries_unreadable", 0)
    update = read_endpoint_list_update({**value, "servers": [*unusable, *value["servers"]]}, NAMES)
    assert len(update.endpoints) == 1024
    assert counters()["endpoint_entries_unreadable"] == before + len(unusable)
    rig = ReducerRig(1, 40, 1)
    rig.reduce(EndpointsUpdated(9, True, update.endpoints))
    assert len(rig.reducer.scheduler.state.table.endpoints) == 1024
