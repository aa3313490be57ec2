"""Tests that a change reaches the reducer within 6 s once discovery is reachable, whatever failed before."""

from __future__ import annotations

import itertools
import queue
import socket
import threading
import time
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field
from unittest import mock

import pytest

from juniperward.forwarder import discovery_watch
from juniperward.forwarder.discovery_client import DiscoveryClient
from juniperward.forwarder.discovery_watch import DIAL_TIMEOUT_S, STREAM_TIMEOUT_S
from juniperward.forwarder.effects import Effect, SetTimer, StartWatch
from juniperward.forwarder.events import EndpointsUpdated, Event, WatchLost
from juniperward.net import sockets
from juniperward.scheduler.tuning import POLL_INITIAL_BACKOFF_S, POLL_MAX_BACKOFF_S
from tests.discovery_fixture import (
    HEAD,
    NAMES,
    SEND_DRAIN,
    Behavior,
    RecordingReducer,
    Reply,
    ScriptedForwarder,
    Unreachable,
    chunk,
    endpoint_list,
)
from tests.test_reducer import make_endpoint

DEADLINE_S = 6.0
# The time that the watch that succeeds may take on a busy machine.
MARGIN_S = 0.25
# The scheduler multiplies each wait by a random factor up to this one.
MAX_SPREAD_FACTOR = 1.25
# The kernel may end a wait of STREAM_TIMEOUT_S this late: it rounds timers of 512 ticks and more up to a multiple of
# 64 ticks. This is longest at 250 ticks per second, the lowest usual rate at which the wait has 512 ticks.
TIMER_DELAY_S = 64 / 250

REFUSED, BLACKHOLED = Unreachable.REFUSED, Unreachable.BLACKHOLED
NO_ANSWER = Reply()
UNAVAILABLE = Reply(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
UNAVAILABLE_FOR_30_S = Reply(
    b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 30\r\nContent-Length: 0\r\n\r\n"
)
HALF_A_LIST = HEAD + chunk(b'{"version":42,"full":false,\n"servers":[\n')
CUT_AND_OPEN, CUT_AND_CLOSED = Reply(HALF_A_LIST), Reply(HALF_A_LIST, closes=True)
CUT_WITHIN_A_CHUNK = Reply(HEAD + b"400\r\n" + b'{"version":42,"full":false,')
SILENT_WATCH = Reply(HEAD)
WHOLE_LIST = Reply(HEAD + endpoint_list(42, True, s_1="Terminating", s_2="Ready"))
WHOLE_LIST_WITHOUT_IT = Reply(HEAD + endpoint_list(42, True, s_2="Ready"))
LATE_DIAL = Reply(SEND_DRAIN.data, dial_delay_s=0.9 * DIAL_TIMEOUT_S)

OUTAGE = (REFUSED, REFUSED, REFUSED)  # After these failures the backoff is at its maximum.


@dataclass(frozen=True)
class Case:
    """Watches that fail after an outage, the first of them while discovery is still unreachable.

    Attributes:
        name: Identifies the case.
        failing: The behaviors that the failing watches meet.
        served: The behavior that the watch after them meets.
        moves: Whether discovery's address changes during the first of them; the time then counts from the change.
        bound_s: The longest time until the change is received, by docs/design/discovery-deadline.md.

    """

    name: str
    failing: tuple[Behavior, ...]
    served: Behavior = SEND_DRAIN
    moves: bool = False
    bound_s: float = field(init=False)

    def __post_init__(self) -> None:
        object.__setattr__(
            self, "bound_s", sum(map(self._until_next, self._counted_failures())) + self._dial_time_s()
        )

    def _counted_failures(self) -> tuple[Behavior, ...]:
        return self.failing[1:] if self.moves else self.failing

    def _dial_time_s(self) -> float:
        # If the address changes just before a connection is opened, the dial to the old address must time out first.
        return (DIAL_TIMEOUT_S if self.moves else 0.0) + (DIAL_TIMEOUT_S if self.served is LATE_DIAL else 0.0)

    def _until_next(self, behavior: Behavior) -> float:
        """Return the most seconds from the start of a failing watch to the start of the next."""
        took = DIAL_TIMEOUT_S if behavior is BLACKHOLED else 0.0
        if behavior in (NO_ANSWER, CUT_AND_OPEN, CUT_WITHIN_A_CHUNK, SILENT_WATCH):
            took = STREAM_TIMEOUT_S + TIMER_DELAY_S
        return took + max(POLL_INITIAL_BACKOFF_S, POLL_MAX_BACKOFF_S - took) * MAX_SPREAD_FACTOR


CASES = (
    Case("refused", (REFUSED,)),
    Case("accepted, never answered, timed out", (NO_ANSWER,)),
    Case("never connected", (BLACKHOLED,)),
    Case("503", (UNAVAILABLE,)),
    Case("503 with Retry-After", (UNAVAILABLE_FOR_30_S,)),
    Case("a list cut in the middle, then silence", (CUT_AND_OPEN,)),
    Case("a list cut within a chunk, then silence", (CUT_WITHIN_A_CHUNK,)),
    Case("a list cut in the middle, then closed", (CUT_AND_CLOSED,)),
    Case("answered, then silent", (SILENT_WATCH,)),
    Case("refused, then a late connection", (REFUSED,), LATE_DIAL),
    Case("refused, then a full list", (REFUSED,), WHOLE_LIST),
    Case("refused, then a full list without the endpoint", (REFUSED,), WHOLE_LIST_WITHOUT_IT),
    Case("refused, then never answered", (REFUSED, NO_ANSWER)),
    Case("refused, then answered and silent", (REFUSED, SILENT_WATCH)),
    Case("refused, then a list cut, then silence", (REFUSED, CUT_AND_OPEN)),
    Case("refused, then 503 twice", (REFUSED, UNAVAILABLE, UNAVAILABLE)),
    Case("refused, 503, then a list cut, then closed", (REFUSED, UNAVAILABLE, CUT_AND_CLOSED)),
    Case("timed out, then 503", (NO_ANSWER, UNAVAILABLE)),
    Case("timed out, then never connected", (NO_ANSWER, BLACKHOLED)),
    Case("never connected, then never answered", (BLACKHOLED, NO_ANSWER)),
    Case("never connected, never connected, then 503", (BLACKHOLED, BLACKHOLED, UNAVAILABLE)),
    Case("timed out, then a late connection", (NO_ANSWER,), LATE_DIAL),
    Case("never connected, then a late connection", (BLACKHOLED,), LATE_DIAL),
    Case("address changed while not answered", (NO_ANSWER,), moves=True),
    Case("address changed while not connected", (BLACKHOLED,), moves=True),
    Case("address changed while not connected, then never answered", (BLACKHOLED, NO_ANSWER), moves=True),
    Case("address changed while a list is cut, then 503", (CUT_AND_OPEN, UNAVAILABLE), moves=True),
)


def measure(case: Case) -> float | None:
    """Return the seconds from when discovery becomes reachable until the reducer knows the change, None for never.

    They count from the start of the last watch that could not reach discovery, which is a little earlier.
    """
    last = len(OUTAGE)
    forwarder = ScriptedForwarder(
        (*OUTAGE, *case.failing), case.served, move_at_watch=last if case.moves else None
    )
    if not forwarder.run():
        return None
    reachable_at = forwarder.address_changed_at if case.moves else forwarder.discovery.watch_started_at[last]
    known_at = forwarder.reducer.drain_known_at
    assert reachable_at is not None and known_at is not None
    # Each scripted behavior met exactly one watch.
    assert len(forwarder.discovery.watch_started_at) == last + len(case.failing) + 1
    return known_at - reachable_at


@pytest.fixture(scope="module")
def measured() -> Iterator[dict[str, float | None]]:
    """Measure all cases in parallel, each with its own thread."""
    with ThreadPoolExecutor(len(CASES)) as pool:
        yield dict(zip((c.name for c in CASES), pool.map(measure, CASES), strict=True))


@pytest.mark.parametrize("case", CASES, ids=lambda c: c.name)
def test_a_change_is_received_in_time_once_discovery_is_reachable(
    case: Case, measured: dict[str, float | None]
) -> None:
    seconds = measured[case.name]
    print(f"{case.name}: at most {case.bound_s:.2f} s, measured {seconds} s")
    assert seconds is not None, "the change was never received"
    assert seconds < DEADLINE_S
    assert case.bound_s < DEADLINE_S - MARGIN_S
    assert seconds < case.bound_s + MARGIN_S


# --- the spacing of watches, on a simulated clock -------------------------------------------------------------


class WatchSpacing:
    """Drives the reducer by its own timers through watches that fail after a given time."""

    def __init__(self, seed: int, longest_waits: bool) -> None:
        self.reducer = RecordingReducer(seed, longest_waits)
        self.now = 100.0
        self.effects: list[Effect] = self.reducer.reduce(
            self.now, [EndpointsUpdated(41, True, (make_endpoint(),), cached=True)]
        )

    def until_next(self, took: float, established: bool = False) -> float:
        """Let a watch fail after `took` seconds; return the seconds from its start to the start of the next."""
        began = self.now
        self.now += took
        wakes = [e for e in self.effects if isinstance(e, SetTimer)]
        self.effects = self.reducer.reduce(self.now, [WatchLost(0, established)])
        wakes += [e for e in self.effects if isinstance(e, SetTimer)]
        while not any(isinstance(e, StartWatch) for e in self.effects):
            wake = min(wakes, key=lambda e: e.at)
            wakes.remove(wake)
            self.now = max(self.now, wake.at)
            self.effects = self.reducer.reduce(self.now, [wake.event])
            wakes += [e for e in self.effects if isinstance(e, SetTimer)]
        return self.now - began


@pytest.mark.parametrize("seed", range(20))
def test_watches_follow_each_other_within_their_bound(seed: int) -> None:
    # The time that a failed watch took counts towards its backoff.
    durations = (0.0, 0.01, 0.5, DIAL_TIMEOUT_S, 1.4, 2.0, STREAM_TIMEOUT_S)
    for first, second in itertools.product(durations, repeat=2):
        watches = WatchSpacing(seed, longest_waits=False)
        for took in (0.0, 0.0, 0.0, first, second, first, second):
            spacing = watches.until_next(took)
            assert (
                spacing
                <= took + max(POLL_INITIAL_BACKOFF_S, POLL_MAX_BACKOFF_S - took) * MAX_SPREAD_FACTOR + 0.01
            )
            # A watch is never reopened at once, as all forwarders may lose theirs at the same time.
            assert spacing >= took + 0.75 * POLL_INITIAL_BACKOFF_S


def test_rejected_watches_back_off_up_to_the_maximum() -> None:
    watches = WatchSpacing(1, longest_waits=True)
    spacings = [watches.until_next(0.0) for _ in range(6)]
    assert spacings == sorted(spacings)
    assert spacings[0] == pytest.approx(POLL_INITIAL_BACKOFF_S * MAX_SPREAD_FACTOR, abs=0.01)
    assert spacings[-1] == pytest.approx(POLL_MAX_BACKOFF_S * MAX_SPREAD_FACTOR, abs=0.01)


def test_a_long_watch_that_ends_is_not_reopened_immediately() -> None:
    # The watches of all forwarders may end together; the time of an established watch does not count as backoff.
    spacings = {
        WatchSpacing(seed, longest_waits=False).until_next(300.0, established=True) - 300.0
        for seed in range(50)
    }
    assert min(spacings) >= 0.75 * POLL_INITIAL_BACKOFF_S
    assert max(spacings) <= MAX_SPREAD_FACTOR * POLL_INITIAL_BACKOFF_S + 0.01
    assert max(spacings) - min(spacings) > 0.3 * POLL_INITIAL_BACKOFF_S


# --- the time limits of one watch -----------------------------------------------------------------------------


@pytest.fixture
def listener() -> Iterator[socket.socket]:
    with socket.create_server(("127.0.0.1", 0)) as server:
        server.settimeout(5.0)
        yield server


def test_the_dial_counts_towards_the_request_timeout(listener: socket.socket) -> None:
    # A connection that is established late must not get the whole time limit again for its answer.
    def connect_late(host: str, port: int, seconds: float, sock: socket.socket) -> None:
        threading.Event().wait(0.8)
        connect(host, port, seconds, sock)

    connect = sockets.connect
    events: queue.Queue[Event] = queue.Queue()
    with (
        mock.patch.object(discovery_watch, "STREAM_TIMEOUT_S", 1.0),
        mock.patch.object(sockets, "connect", connect_late),
    ):
        client = DiscoveryClient(listener.getsockname(), NAMES, events.put)
        client.start()
        began = time.monotonic()
        client.watch(41, 0)
        sock, _ = listener.accept()
        with sock:
            assert events.get(timeout=5.0) == WatchLost(0, established=False)
    assert time.monotonic() - began < 1.5


def test_a_watch_unresponsive_after_a_late_head_resets_the_backoff(listener: socket.socket) -> None:
    # The time since the response head decides whether a watch was established, not the time since the dial.
    events: queue.Queue[Event] = queue.Queue()
    with mock.patch.object(discovery_watch, "STREAM_TIMEOUT_S", 0.5):
        client = DiscoveryClient(listener.getsockname(), NAMES, events.put)
        client.start()
        client.watch(41, 0)
        sock, _ = listener.accept()
        with sock:
            threading.Event().wait(0.2)
            sock.sendall(HEAD)
            assert events.get(timeout=5.0) == WatchLost(0, established=True)


# --- older lists ----------------------------------------------------------------------------------------------


def test_a_list_older_than_the_cached_one_is_accepted() -> None:
    # A service that has lost versions still sends the current list; ignoring it would block all later changes.
    newer = Reply(HEAD + endpoint_list(50, True, s_1="Ready", s_2="Ready", s_3="Ready"), closes=True)
    older = Reply(HEAD + endpoint_list(44, True, s_1="Ready", s_2="Terminating"), closes=True)
    after = Reply(HEAD + endpoint_list(45, False, s_1="Terminating"))
    forwarder = ScriptedForwarder((newer, older), after)
    assert forwarder.run()
    versions = [
        forwarder.services[0].requests.get(timeout=5.0).split("since=")[1].split()[0] for _ in range(3)
    ]
    assert versions == ["41", "50", "44"]
    state = forwarder.reducer.state
    assert state.directory.version == 45
    assert {e.id: e.phase.name for n, e in state.directory.endpoints.items() if n not in state.directory.removed} == {
        "s-1": "DRAINING", "s-2": "DRAINING",
    }  # fmt: skip
