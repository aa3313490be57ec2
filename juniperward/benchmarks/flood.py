"""Measures a forwarder under load while clients flood its control channel.

`juniperward measure flood` calls `flood`.
"""

from __future__ import annotations

import socket
import tempfile
import threading
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from juniperward.benchmarks.loaded_cluster import DESTINATIONS
from juniperward.benchmarks.local_cluster import LocalCluster
from juniperward.benchmarks.report import Report, Row, quantile
from juniperward.control.client import ControlClient
from juniperward.control.codec import encode_request
from juniperward.control.errors import ControlError
from juniperward.control.protocol import Request, Verb

# An attack is run by each of the attacking clients until the event is set.
Attack = Callable[[threading.Event], None]

ATTACKING_CLIENTS = 8


def flood(seed: int, out: Path, seconds: float = 10.0) -> bool:
    """Measure the latency of requests and messages under each attack, for `seconds` each.

    Writes flood.md to `out`. Always returns True: no result counts as a failure.
    """
    report = Report(
        "A forwarder whose control channel is flooded", f"juniperward measure flood --seed {seed}", seed
    )
    report.add_paragraph(
        "One forwarder at 100 messages a second. The loop's delay is the time from a request on the control channel "
        "to its answer, polled by one honest client ten times a second; the latency of a "
        "message is the time from when it was due to its effect."
    )
    with (
        tempfile.TemporaryDirectory(prefix="jw-") as folder,
        LocalCluster(Path(folder), 1, DESTINATIONS, seed) as cluster,
    ):
        cluster.start()
        path = cluster.folder / "run" / "run" / "n0"
        rows = [_measure(cluster, path, name, attack, seconds) for name, attack in _attacks(path)]
    report.add_table(
        ["eight clients send", "delivered", "message median ms", "p99 ms", "honest request median ms", "p99 ms",
         "honest requests unanswered"], rows,
    )  # fmt: skip
    report.write(out / "flood.md")
    return True


def _attacks(path: Path) -> list[tuple[str, Attack | None]]:
    """Return the name of each row of the table and its attack; None is a run without an attack, for comparison."""
    return [
        ("nothing", None),
        ("requests without a pause", lambda end: _send_requests(path, end)),
        ("connections that say nothing", lambda end: _send_nothing(path, end)),
        ("rubbish", lambda end: _send_rubbish(path, end)),
        ("requests, answers not read", lambda end: _ignore_answers(path, end)),
        ("nothing, again", None),
    ]


def _measure(cluster: LocalCluster, path: Path, name: str, attack: Attack | None, seconds: float) -> Row:
    """Run an attack beside clients and one honest request client; return the table row."""
    attack_end = threading.Event()
    threads = [
        threading.Thread(target=attack, args=(attack_end,), daemon=True)
        for _ in range(ATTACKING_CLIENTS if attack else 0)
    ]
    cluster.recorder.records.clear()
    clients = cluster.clients(100.0, seconds, threads=32, name=name[:2])
    for thread in threads:
        thread.start()
    answer_times_s, unanswered = _poll_status(path, seconds)
    attack_end.set()
    clients.done.wait(30.0)
    for thread in threads:
        thread.join(10.0)
    cluster.settle()
    verdict = cluster.verdict()
    return [
        name, f"{verdict.delivered}/{verdict.offered}", f"{quantile(verdict.latencies_s, 0.5) * 1000:.1f}",
        f"{quantile(verdict.latencies_s, 0.99) * 1000:.1f}", f"{quantile(answer_times_s, 0.5) * 1000:.1f}",
        f"{quantile(answer_times_s, 0.99) * 1000:.1f}", f"{unanswered}",
    ]  # fmt: skip


def _poll_status(path: Path, seconds: float) -> tuple[list[float], int]:
    """Request the status ten times a second; return the answer times in seconds and the count of failed requests."""
    client = ControlClient(path, 1.0)
    answer_times_s: list[float] = []
    unanswered = 0
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        began = time.monotonic()
        try:
            client.status()
            answer_times_s.append(time.monotonic() - began)
        except ControlError:
            unanswered += 1
        time.sleep(0.1)
    client.close()
    return answer_times_s, unanswered


def _attack(path: Path, end: threading.Event, use_socket: Callable[[Any], None]) -> None:
    """Connect and call `use_socket` with the socket, again and again until `end` is set."""
    while not end.is_set():
        try:
            with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as sock:
                sock.settimeout(0.5)
                sock.connect(str(path))
                use_socket(sock)
        except OSError:
            time.sleep(0.001)


def _send_requests(path: Path, end: threading.Event) -> None:
    def send_and_receive(sock: Any) -> None:
        """Send requests and read the answers until the end."""
        while not end.is_set():
            sock.sendall(encode_request(Request(1, Verb.DESTINATIONS)))
            sock.recv(65536)

    _attack(path, end, send_and_receive)


def _send_nothing(path: Path, end: threading.Event) -> None:
    _attack(path, end, lambda sock: sock.recv(1))


def _send_rubbish(path: Path, end: threading.Event) -> None:
    _attack(path, end, lambda sock: sock.sendall(b"\xff" * 65536))


def _ignore_answers(path: Path, end: threading.Event) -> None:
    def send_without_reading(sock: Any) -> None:
        """Send many requests and read no answer."""
        for _ in range(1000):
            sock.sendall(encode_request(Request(1, Verb.COUNTERS)))

    _attack(path, end, send_without_reading)
