"""`juniperward demo`: runs a fleet for half a minute, and prints the checker's verdict."""

from __future__ import annotations

import contextlib
import tempfile
import time
from pathlib import Path

from rich.console import Console
from rich.table import Table

from juniperward.benchmarks.local_cluster import LocalCluster
from juniperward.fakes.destination_spec import DestinationSpec

LOAD_S = 14.0
DESTINATIONS = [
    DestinationSpec(1, "booking-sites", endpoints=2, latency_s=0.06, rate_limit=60.0, batch_size=20),
    DestinationSpec(2, "small-partners", endpoints=2, latency_s=0.03),
    DestinationSpec(3, "small-partners", endpoints=1, latency_s=0.05),
    DestinationSpec(4, "small-partners", endpoints=2, latency_s=0.1),
]


def demo(rate: float, keep: Path | None) -> int:
    """Run a fleet at `rate` messages per second; return 0 if all rules held and the roll was completed, else 1.

    The fleet's files go to `keep`, or to a temporary folder if it is None.
    """
    console = Console()
    began = time.monotonic()
    with contextlib.ExitStack() as stack:
        if keep is None:
            folder = Path(stack.enter_context(tempfile.TemporaryDirectory(prefix="juniperward-")))
        else:
            keep.mkdir(parents=True, exist_ok=True)
            folder = keep.resolve()
        cluster = stack.enter_context(LocalCluster(folder, 3, DESTINATIONS))
        console.print("starting discovery, 4 destinations, an agent and 3 forwarders")
        cluster.start()
        console.print(
            f"{rate:g} messages a second for {LOAD_S:g} s; meanwhile all forwarders roll and an endpoint drains"
        )
        clients = cluster.clients(rate, LOAD_S)
        time.sleep(2.0)
        cluster.request("roll", soak=1.0)
        time.sleep(1.0)
        cluster.discovery.publish(*cluster.destinations[2].listed_endpoints("Terminating", 0))
        roll = cluster.roll_end(60.0)
        console.print(f"roll {roll['id']} is {roll['mode']} {roll['why']}")
        clients.done.wait(60.0)
        cluster.settle(25.0)
        status = cluster.request("status")
        verdict = cluster.verdict()
    table = Table("what", "count", box=None)
    rows = [
        ("messages of clients", verdict.offered),
        ("submissions, with further ones", verdict.submissions),
        ("accepted", verdict.accepted),
        ("delivered", verdict.delivered),
        ("notified as undelivered", verdict.notified),
        ("rejected", verdict.rejected),
        ("without an answer", verdict.unanswered),
        ("attempts", verdict.attempts),
        ("fraction of priority weight", f"{verdict.priority_weight_delivered:.3f}"),
        ("forwarders ready at the end", status["ready"]),
        ("seconds", f"{time.monotonic() - began:.1f}"),
    ]
    for name, value in rows:
        table.add_row(name, str(value))
    console.print(table)
    for line in verdict.lines():
        console.print(line, markup=False, highlight=False, style="green" if verdict.passed else "red")
    return 0 if verdict.passed and roll["mode"] == "done" else 1
