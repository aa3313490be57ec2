"""Lists of 1,024 forwarders and of 1,024 servers, through the settings, the list and the module."""

from __future__ import annotations

import tempfile
import unittest
from pathlib import Path

from juniperward.benchmarks.reducer_rig import NAMES, ReducerRig, endpoint_list
from juniperward.forwarder.endpoint_list_codec import read_endpoint_list_update
from juniperward.forwarder.events import EndpointsUpdated
from juniperward.forwarder.telemetry import counters
from juniperward.settings.load import load


class SizesTest(unittest.TestCase):
    def test_an_agent_manages_1024_forwarders(self) -> None:
        # Guards a cap of 1,000 that refused the file.
        with tempfile.TemporaryDirectory() as name:
            (Path(name) / "base.json").write_text('{"settings": {}}')
            rows = "".join(
                f'instance {{ name: "n{n}" listen: "127.0.0.1:{2000 + n}" }}\n' for n in range(1024)
            )
            file = Path(name) / "f.textproto"
            file.write_text('name: "y"\nbase: "base.json"\nregistry: "127.0.0.1:8500"\n' + rows)
            self.assertEqual(len(load(file).instances), 1024)

    def test_a_forwarder_knows_1024_servers_beside_1024_forwarders(self) -> None:
        rig = ReducerRig(1024, 1024, 1)
        rig.receive_list()
        state = rig.reducer.state
        self.assertEqual(
            (len(state.directory.endpoints), len(rig.reducer.scheduler.state.table.endpoints)), (1024, 1024)
        )
        for destination in range(20):
            with self.subTest(destination):
                self.assertIn(destination, state.directory.destinations)
        rig.deliver_message()
        self.assertEqual((state.messages.pending, state.attempts_in_flight), ({}, {}))

    def test_an_unusable_entry_invalidates_no_other(self) -> None:
        value = endpoint_list(1024)
        bad = [
            {"id": "x"}, {**value["servers"][5], "addr": "nowhere"}, {**value["servers"][6], "cell": None},
            {**value["servers"][7], "state": "Gone?"}, 7,
        ]  # fmt: skip
        before = counters().get("endpoint_entries_unreadable", 0)
        update = read_endpoint_list_update({**value, "servers": [*bad, *value["servers"]]}, NAMES)
        self.assertEqual(len(update.endpoints), 1024)
        self.assertEqual(counters()["endpoint_entries_unreadable"], before + len(bad))
        rig = ReducerRig(1, 40, 1)
        rig.reduce(EndpointsUpdated(9, True, update.endpoints))
        self.assertEqual(len(rig.reducer.scheduler.state.table.endpoints), 1024)
