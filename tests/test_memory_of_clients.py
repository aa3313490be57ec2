"""A forwarder stays within its memory limit whatever its clients send; real processes, killed above the limit."""

from __future__ import annotations

from pathlib import Path

import pytest

from juniperward.benchmarks.limited_forwarder import LimitedForwarder, Limits
from juniperward.benchmarks.memory_soak import run_seed
from juniperward.fakes.discovery import FakeDiscovery
from juniperward.fakes.hostile_clients import Form, hostile_clients
from juniperward.fakes.load_balancer import is_ready
from juniperward.fakes.records import Recorder
from tests.resources import Resources

LIMITS = Limits(memory_mb=32, sockets=1024, disk_mb=3)
PROCESSES, CONNECTIONS_EACH = 3, 160
FLOOD_S = 2.0
SEED = 63
# Each takes some 16 s; `juniperward measure memory-soak` runs more of them by hand.
SOAK_SEEDS = (1, 2, 3)
FORMS = (Form.LINES_AND_BODY, Form.WHOLE, Form.LARGE_FIELDS, Form.MIXED)


@pytest.fixture
def forwarder(resources: Resources, tmp_path: Path) -> LimitedForwarder:
    discovery = resources.closing(FakeDiscovery(Recorder()))
    forwarder = resources.closing(LimitedForwarder(tmp_path / "n0", discovery.address_for("n0"), LIMITS))
    forwarder.start()
    return forwarder


def test_hostile_clients_do_not_take_a_forwarder_over_its_memory_limit(
    resources: Resources, forwarder: LimitedForwarder
) -> None:
    # Guards against memory that grows with the connections, bytes and messages of clients beyond the settings' limit.
    for form in FORMS:
        clients = [
            resources.enter_context(
                hostile_clients(forwarder.address, form, CONNECTIONS_EACH, FLOOD_S, SEED + number)
            )
            for number in range(PROCESSES)
        ]
        for process in clients:
            process.wait()
        used_mb = forwarder.peak_bytes / 1e6
        assert not forwarder.killed_for_memory, f"{form}: {used_mb:.1f} MB used"
    assert is_ready(forwarder.address)


def test_seeded_soak_holds_memory_limits_and_rules(subtests: pytest.Subtests) -> None:
    # Guards against kills for memory, exits and broken rules while signals, faults and hostile clients combine.
    for result in map(run_seed, SOAK_SEEDS):
        with subtests.test(seed=result.seed):
            assert result.problems == [], result.cells()
            assert result.verdict.accepted > 0
