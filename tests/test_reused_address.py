"""A new endpoint at the address of one that has gone gets no messages of the former one."""

from __future__ import annotations

import time
from dataclasses import replace
from pathlib import Path

from juniperward.benchmarks.cluster_files import BASE_CONFIGURATION
from juniperward.benchmarks.forwarder_group import ForwarderGroup
from juniperward.fakes.destination_spec import DestinationSpec
from juniperward.fakes.destinations import FakeDestination
from juniperward.fakes.discovery import FakeDiscovery
from juniperward.fakes.records import AttemptReceived, Recorder
from tests.player import WAIT_S
from tests.resources import Resources

FORMER, NEW = 1, 2


def test_restored_messages_wait_for_the_first_list_of_discovery(resources: Resources, tmp_path: Path) -> None:
    # Guards against work at the wrong place after a restart: the list of the configuration may be old, and an address
    # in it may belong to an endpoint of another destination by now.
    recorder = Recorder()
    discovery = resources.closing(FakeDiscovery(recorder))
    former, new = (
        resources.closing(FakeDestination(DestinationSpec(number, endpoints=1), recorder, number))
        for number in (FORMER, NEW)
    )
    (former_endpoint,), (new_endpoint,) = former.start(), new.start()
    group = resources.closing(ForwarderGroup(tmp_path, BASE_CONFIGURATION, discovery.address_for("n0")))
    group.servers = [replace(former_endpoint, address=new_endpoint.address).row()]
    ids = set(group.fill("n0", destination=FORMER, body=bytes(40_000)))
    discovery.publish(former_endpoint, new_endpoint)
    group.wait_ready("n0", group.spawn("n0"))
    until = time.monotonic() + WAIT_S
    while not ids <= {name for record in attempts(recorder) for name in record.ids}:
        assert time.monotonic() < until
        time.sleep(0.01)
    assert {record.destination for record in attempts(recorder)} == {FORMER}


def attempts(recorder: Recorder) -> list[AttemptReceived]:
    return [record for record in list(recorder.records) if isinstance(record, AttemptReceived)]
