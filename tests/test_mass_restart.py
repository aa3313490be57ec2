"""Tests a restart of forty forwarders with full journals at once, during an outage of discovery."""

from __future__ import annotations

import json
import time
from pathlib import Path

import pytest

from juniperward.benchmarks.cluster_files import BASE_CONFIGURATION
from juniperward.benchmarks.forwarder_group import (
    PARTS_PROGRAM,
    ForwarderGroup,
    start_all,
    unused_address,
)
from juniperward.benchmarks.start_marks import StartMarks
from juniperward.benchmarks.start_parts import BEGAN_AT, BEGAN_CPU_S
from juniperward.fakes.destination_spec import DestinationSpec
from juniperward.fakes.destinations import FakeDestination
from juniperward.fakes.discovery import FakeDiscovery
from juniperward.fakes.records import Effect, NotificationReceived, Recorder
from tests.resources import Resources

FORWARDERS = 40
MAX_READY_S = 10.0
FINISHED_TIMEOUT_S = 40.0
DISK_MB = 0.06  # the journal holds about thirty messages


class TestMassRestart:
    @pytest.fixture(autouse=True)
    def set_up(self, resources: Resources, tmp_path: Path) -> None:
        self.resources = resources
        self.folder = tmp_path
        self.recorder = Recorder()

    def test_forty_at_once_are_ready_in_time_and_lose_nothing(self) -> None:
        destination = self.resources.closing(
            FakeDestination(
                DestinationSpec(1, "booking-sites", endpoints=4, latency_s=0.005, batch_size=20),
                self.recorder,
                1,
            )
        )
        discovery = self.resources.closing(FakeDiscovery(self.recorder))
        address = discovery.address_for("fleet")
        discovery.set_outage(True)
        servers = [
            {"id": e.id, "addr": e.address, "zone": "aluva", "kind": e.kind, "cell": 1, "state": "Ready",
             "weight": 0.0, "started_ms": 0}
            for e in destination.start()
        ]  # fmt: skip
        discovery.publish(*destination.listed_endpoints())
        base = {
            **BASE_CONFIGURATION,
            "limits": {**BASE_CONFIGURATION["limits"], "disk_mb": DISK_MB, "sockets": 128},
        }
        group = self.resources.closing(ForwarderGroup(self.folder, base, address, servers))
        names = [f"n{n}" for n in range(FORWARDERS)]
        accepted = {message for name in names for message in group.fill(name)}
        assert len(accepted) > 20 * FORWARDERS
        ready_after_s = sorted(result.ready_after_s for result in start_all(group, names))
        median_s = ready_after_s[len(ready_after_s) // 2]
        assert ready_after_s[-1] < MAX_READY_S, f"median {median_s:.2f} s"
        discovery.set_outage(False)
        deadline = time.monotonic() + FINISHED_TIMEOUT_S
        while (unfinished := accepted - self.finished_ids()) and time.monotonic() < deadline:
            time.sleep(0.05)
        assert unfinished == set()
        effects = [r.id for r in self.recorder.records if isinstance(r, Effect)]
        assert len(effects) == len(set(effects))
        assert len(effects) > len(accepted) // 2

    def finished_ids(self) -> set[str]:
        """Return the ids of the messages that were delivered or reported as undelivered."""
        return {r.id for r in self.recorder.records if isinstance(r, Effect | NotificationReceived)}

    def test_the_phases_of_a_start_are_reported_and_sum_up(self) -> None:
        # Without a mark, a part would be missing from the table of `juniperward measure starts`.
        base = {**BASE_CONFIGURATION, "limits": {**BASE_CONFIGURATION["limits"], "disk_mb": DISK_MB}}
        group = self.resources.closing(
            ForwarderGroup(self.folder, base, unused_address(), command=PARTS_PROGRAM)
        )
        group.fill("n0")
        ((ready_after_s, parts),) = start_all(group, ["n0"])
        order = [
            "interpreter",
            "imports",
            "signals",
            "configuration",
            "folder",
            "journal read",
            "messages restored",
        ]
        assert list(parts) == [*order, "listening"]
        assert sum(wall for wall, _ in parts.values()) < ready_after_s
        assert sum(cpu for _, cpu in parts.values()) > 0.0

    def test_a_mark_covers_all_since_the_previous_mark(self) -> None:
        marks = StartMarks(BEGAN_AT - 1.0, BEGAN_AT, BEGAN_CPU_S)
        marks.mark("first")
        marks.marked(json.loads, "second", "third")("1")
        assert list(marks.parts) == ["interpreter", "first", "second", "third"]
        assert min(part.wall_s for part in marks.parts.values()) >= 0.0
