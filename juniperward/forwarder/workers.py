"""Calls to workers: a thread each while one is out, and the connections that are kept between them."""

from __future__ import annotations

import math
import queue
import socket
import threading
import time
from collections.abc import Callable
from dataclasses import replace

from juniperward.forwarder.answers import (
    ends_of_all,
    read_ends,
    read_probe,
    read_report,
    read_wait,
)
from juniperward.forwarder.batch import encode_batch
from juniperward.forwarder.counters import count, log, trouble
from juniperward.forwarder.effects import StartAttempt, StartHealthCheck
from juniperward.forwarder.events import AttemptAnswered, Event, HealthCheckAnswered
from juniperward.forwarder.model import AttemptProgress, BatchItem, ItemOutcome, RouteKey
from juniperward.forwarder.records import AttemptStartedRecord, JournalRecord
from juniperward.forwarder.trace import Trace
from juniperward.net import sockets
from juniperward.net.http import Broken, Malformed, Response, Stream, encode_call, read_response
from juniperward.scheduler.events import Outcome

KEEPALIVE_SHARE = 0.9  # part of the workers' keepalive after which an idle connection is not used any more
LONGEST_READ_S = 60.0  # after it a read ends whatever the reducer forgot; a class with more time has more
ANSWER_TRANSFER_S = 0.5  # seconds that an answer may take from its first byte to its last
CONNECTION_REST_S = 0.01  # after an answer, before its connection is used again: what is behind it shows


class ActiveAttempt:
    """An attempt in the hands of a thread."""

    def __init__(self, what: StartAttempt | StartHealthCheck) -> None:
        self.what = what
        self.sock: socket.socket | None = None
        self.cancelled = False
        self.progress = AttemptProgress.WAITING
        self.withdrawn: set[int] = set()  # messages that are over and must not be written


class Kept:
    """A connection to a worker."""

    def __init__(
        self, sock: socket.socket, address: tuple[str, int], longest: float = LONGEST_READ_S
    ) -> None:
        self.sock, self.address, self.longest = sock, address, longest
        self.stream = Stream(self._receive)
        self.used = time.monotonic()
        self.until: float | None = None  # when the answer that has begun must be whole
        self.latest: float | None = None  # when an answer must be whole, whether it has begun or not
        self.limited = False

    def begun(self, begun: bool) -> None:
        """An answer may be long in coming, but not in arriving."""
        self.until = time.monotonic() + ANSWER_TRANSFER_S if begun else None

    def _receive(self, size: int) -> bytes:
        bounds = [bound for bound in (self.until, self.latest) if bound is not None]
        if bounds:
            left = min(bounds) - time.monotonic()
            if left <= 0:
                raise TimeoutError
            sockets.limit(self.sock, socket.SO_RCVTIMEO, left)
            self.limited = True
        elif self.limited:
            sockets.limit(self.sock, socket.SO_RCVTIMEO, self.longest)
            self.limited = False
        return self.sock.recv(size)


class Workers:
    """Owns the worker connections; `lock` guards the tables, threads block outside it."""

    def __init__(
        self, dial_timeout: float, keepalive: float, most_threads: int, most_idle: int,
        post: Callable[[Event], None], note: Callable[[JournalRecord], None] = lambda record: None,
        longest: float = LONGEST_READ_S,
    ) -> None:  # fmt: skip
        self.longest = max(longest, LONGEST_READ_S)
        self.dial_timeout, self.keep = dial_timeout, keepalive * KEEPALIVE_SHARE
        self.most_threads, self.most_idle, self.post, self.note = most_threads, most_idle, post, note
        self.ended = False  # nothing is begun any more
        self.lock = threading.Lock()
        self.submitted: queue.SimpleQueue[ActiveAttempt] = queue.SimpleQueue()
        self.active: dict[int, ActiveAttempt] = {}
        self.idle: dict[int, list[Kept]] = {}
        self.draining: set[int] = set()
        self.held_until: dict[RouteKey, float] = {}
        self.threads = self.free = 0
        self.trace: Trace | None = None

    # --- effects, called by the loop ----------------------------------------------------------------

    def start_attempt(self, what: StartAttempt | StartHealthCheck) -> None:
        """Have a thread make this call, or this probe."""
        attempt = ActiveAttempt(what)
        with self.lock:
            self.active[what.number] = attempt
            grow = self.free <= 0 and self.threads < self.most_threads
            self.free += grow - 1
            self.threads += grow
        if grow:
            try:
                threading.Thread(target=self._work, name="worker", daemon=True).start()
            except RuntimeError as error:
                trouble("workers", error)
                with self.lock:
                    self.threads -= 1
                    self.free -= 1
        self.submitted.put(attempt)

    def cancel_attempt(self, number: int) -> AttemptProgress:
        """Close the connection of a call, whose end is not reported any more; how far it had come."""
        with self.lock:
            attempt = self.active.pop(number, None)
            if attempt is None:
                return AttemptProgress.FINISHED
            attempt.cancelled = True
            sock, progress = attempt.sock, attempt.progress
        if sock is not None:
            sockets.shut(sock)
        return progress

    def withdraw(self, number: int, message: int) -> AttemptProgress:
        """Leave a message out of a call, if nothing of the call is written yet; how far it has come.

        The others of the call may wait for seconds behind a dial; this one is over meanwhile.
        """
        with self.lock:
            attempt = self.active.get(number)
            if attempt is None:
                return AttemptProgress.FINISHED
            if attempt.progress is AttemptProgress.WAITING:
                attempt.withdrawn.add(message)
            return attempt.progress

    def close_idle(self, worker: int) -> None:
        """Close the connections to a worker that no call is on."""
        with self.lock:
            kept = self.idle.pop(worker, [])
        for k in kept:
            k.sock.close()

    def set_draining(self, worker: int, draining: bool) -> None:
        """Write nothing new to a worker that drains or is gone."""
        with self.lock:
            (self.draining.add if draining else self.draining.discard)(worker)
        if draining:
            self.close_idle(worker)

    def forget(self, worker: int) -> None:
        """Keep nothing of a worker that is gone and that no call is out to."""
        self.close_idle(worker)
        with self.lock:
            self.draining.discard(worker)

    def hold_until(self, route: RouteKey, until: float) -> None:
        """Write nothing to a route that told a wait."""
        with self.lock:
            self.held_until[route] = max(until, self.held_until.get(route, until))

    def _heed(self, what: StartAttempt | StartHealthCheck, wait: float) -> None:
        """Hold a route from the moment its wait is read, not from when the loop gets to the answer.

        Between the two, other threads write what the module decided before it knew: on a busy process that
        was longer than the 100 ms that the rule lets through.
        """
        if wait > 0:
            self.hold_until(_route(what), time.monotonic() + wait)

    def sweep(self, now: float) -> None:
        """Drop connections before their workers do, and waits that are over."""
        old = []
        with self.lock:
            for worker, kept in list(self.idle.items()):
                fresh = [k for k in kept if now - k.used < self.keep]
                old += [k for k in kept if now - k.used >= self.keep]
                if fresh:
                    self.idle[worker] = fresh
                else:
                    del self.idle[worker]
            for route in [r for r, until in self.held_until.items() if until <= now]:
                del self.held_until[route]
        for k in old:
            k.sock.close()

    def end(self) -> None:
        """Begin nothing any more: what would be written from here on, the journal's next reader might not find."""
        with self.lock:
            self.ended = True

    # --- threads --------------------------------------------------------------------------------------

    def _work(self) -> None:
        while True:
            attempt = self.submitted.get()
            what, begun = attempt.what, time.monotonic()
            result: Event
            try:
                if isinstance(what, StartHealthCheck):
                    result = self._probe(attempt, what, begun)
                else:
                    result = AttemptAnswered(what.number, self._call(attempt, what))
            except Exception as error:
                trouble("worker", error)
                result = (
                    HealthCheckAnswered(what.number, what.endpoint, Outcome.RESET, time.monotonic() - begun)
                    if isinstance(what, StartHealthCheck)
                    else AttemptAnswered(what.number, ends_of_all(what, Outcome.RESET))
                )
            with self.lock:
                self.free += 1
                known = self.active.pop(what.number, None) is not None
            if known and not attempt.cancelled:
                self.post(result)

    def _probe(self, attempt: ActiveAttempt, what: StartHealthCheck, begun: float) -> HealthCheckAnswered:
        """A probe: it counts as a call, so it heeds drains and waits as calls do, and it uses a kept connection."""
        address = (what.host, what.port)

        def ended(outcome: Outcome, answer: Response | None = None) -> HealthCheckAnswered:
            latency = time.monotonic() - begun
            if answer is None:
                return HealthCheckAnswered(what.number, what.endpoint, outcome, latency)
            wait, report = read_wait(answer.headers), read_report(answer.headers)
            return HealthCheckAnswered(
                what.number,
                what.endpoint,
                outcome,
                latency,
                retry_after_s=wait,
                capacity_left=report.room,
                reported_limit_per_s=report.limit,
            )

        kept = self._take_idle(what.endpoint, address)
        fresh = kept is None
        if kept is None:
            kept = self._dial(attempt, address)
            if kept is None:
                return ended(Outcome.CONNECT_FAILED)
        attempt.sock = kept.sock
        if self._begin(attempt) is None:
            count("probes_withheld")
            self._put_back(what.endpoint, kept)
            return ended(Outcome.NOT_SENT)
        kept.latest = what.deadline
        try:
            kept.sock.sendall(encode_call("GET", "/health/live", f"{what.host}:{what.port}", {}, None))
            answer = read_response(kept.stream, kept.begun)
            kept.latest = None
        except (Broken, Malformed, OSError) as error:
            kept.sock.close()
            if time.monotonic() >= what.deadline:  # the stream tells a read that took too long as broken
                return ended(Outcome.TIMEOUT)
            count("probes_spoilt")
            log("probe", f"{what.host}:{what.port} gave no whole answer: {error}")
            return ended(
                Outcome.CONNECT_FAILED if fresh and isinstance(error, ConnectionError) else Outcome.RESET
            )
        count("probes_answered")
        self._heed(what, read_wait(answer.headers))
        if answer.close or attempt.cancelled or kept.stream.buffer:
            kept.sock.close()
        else:
            self._put_back(what.endpoint, kept)
        return ended(read_probe(answer, fresh), answer)

    def _call(self, attempt: ActiveAttempt, what: StartAttempt) -> tuple[ItemOutcome, ...]:
        address = (what.host, what.port)
        kept = self._take_idle(what.endpoint, address)
        fresh = kept is None
        if kept is None:
            kept = self._dial(attempt, address)
            if kept is None:
                return ends_of_all(what, Outcome.CONNECT_FAILED, begun=False)
        else:
            attempt.sock = kept.sock
            count("connections_reused")
        items = self._begin(attempt)
        if not items:
            # It waited behind a dial: what came meanwhile from the registry or the worker binds it.
            count("delegations_withheld")
            self._put_back(what.endpoint, kept)
            return ends_of_all(what, Outcome.NOT_SENT, begun=False)
        # What ended meanwhile was told its end: sent on now it would run, and be brought a second time.
        if len(items) == len(what.items):
            return self._exchange(attempt, what, kept, fresh)
        count("messages_left_out", len(what.items) - len(items))
        ends = {end.message: end for end in ends_of_all(what, Outcome.NOT_SENT, begun=False)}
        ends |= {end.message: end for end in self._exchange(attempt, replace(what, items=items), kept, fresh)}
        return tuple(ends.values())

    def _exchange(
        self, attempt: ActiveAttempt, what: StartAttempt, kept: Kept, fresh: bool
    ) -> tuple[ItemOutcome, ...]:
        """Write a call and read its answer; the connection is put back, or closed."""
        try:
            kept.sock.sendall(_request(what, time.monotonic()))
        except OSError:
            kept.sock.close()
            return ends_of_all(what, Outcome.CONNECT_FAILED)
        with self.lock:
            attempt.progress = AttemptProgress.WRITTEN
        try:
            answer = read_response(kept.stream, kept.begun)
        except (Broken, Malformed, OSError) as error:
            kept.sock.close()
            if not attempt.cancelled:
                count("answers_spoilt")
                log("worker", f"{what.host}:{what.port} gave no whole answer: {error}")
            # A first line with 200 has delivered a single message, whatever becomes of the rest.
            whole = len(what.items) == 1 and getattr(error, "status", None) == 200
            return ends_of_all(what, Outcome.OK if whole else Outcome.RESET)
        if self.trace is not None:
            headers = f"{answer.headers}"
            self.trace.answered(what.number, fresh, answer.status, answer.close, headers)
        # More than one answer, also late (see `_take_idle`): what is behind must not be the next call's.
        behind = bool(kept.stream.buffer)
        if behind:
            count("answers_with_more")
        if answer.close or attempt.cancelled or behind:
            kept.sock.close()
        else:
            self._put_back(what.endpoint, kept)
        self._heed(what, read_wait(answer.headers))
        return read_ends(what, answer, fresh)

    def _dial(self, attempt: ActiveAttempt, address: tuple[str, int]) -> Kept | None:
        try:
            sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        except (
            OSError
        ) as error:  # for want of descriptors: nothing of the call was written, so it has not run
            count("dials_failed")
            log("dial", f"no socket for worker {address[0]}:{address[1]}: {error}")
            return None
        attempt.sock = sock
        left = min(self.dial_timeout, attempt.what.deadline - time.monotonic())
        try:
            if attempt.cancelled or left <= 0:
                raise TimeoutError
            sockets.connect(*address, left, sock)
            # What was left for this dial must not bound what is written on the connection later.
            sockets.limit(sock, socket.SO_SNDTIMEO, self.dial_timeout)
            sockets.limit(sock, socket.SO_RCVTIMEO, self.longest)
        except OSError as error:
            sock.close()
            count("dials_failed")
            log("dial", f"worker {address[0]}:{address[1]}: {error or 'too late'}")
            return None
        count("connections_opened")
        return Kept(sock, address, self.longest)

    def _begin(self, attempt: ActiveAttempt) -> tuple[BatchItem, ...] | None:
        """Begin to write, unless that is barred by now (None); the messages that may still be written.

        They are journalled here, before their first byte and not when the module decided: a process killed while
        a call waits for its connection leaves its messages untried.
        """
        what, now = attempt.what, time.monotonic()
        with self.lock:
            free = what.endpoint not in self.draining and now >= self.held_until.get(_route(what), -math.inf)
            if not free or attempt.cancelled or self.ended or now >= what.deadline:
                return None
            if isinstance(what, StartHealthCheck):
                return ()
            items = []
            for p in what.items:
                if p.message not in attempt.withdrawn and now < p.start_before:
                    try:
                        self.note(AttemptStartedRecord(p.content.id, now, what.endpoint_id))
                    except OSError as error:  # written without its record it would come back as untried
                        count("journal_failures")
                        log("journal", f"cannot write: {error}; its message is not sent")
                        break
                    items.append(p)
            if items:
                attempt.progress = AttemptProgress.WRITING
            return tuple(items)

    def _take_idle(self, worker: int, address: tuple[str, int]) -> Kept | None:
        """The connection used most recently that has rested and is still good; where none has, the eldest."""
        while True:
            now = time.monotonic()
            with self.lock:
                kept = self.idle.get(worker)
                if not kept:
                    return None
                # They stand in the order of their use: only the latest few can still be resting.
                place = next(
                    (n for n in range(len(kept) - 1, -1, -1) if now - kept[n].used >= CONNECTION_REST_S), 0
                )
                k = kept.pop(place)
            rested = now - k.used
            if rested < CONNECTION_REST_S:
                time.sleep(CONNECTION_REST_S - rested)
            good = k.address == address and rested < self.keep
            if good and not k.stream.buffer and sockets.quiet(k.sock):
                return k
            k.sock.close()

    def _put_back(self, worker: int, kept: Kept) -> None:
        kept.used = time.monotonic()
        drop: list[Kept] = [kept]
        with self.lock:
            if worker not in self.draining:
                self.idle.setdefault(worker, []).append(kept)
                drop = []
            if sum(map(len, self.idle.values())) > self.most_idle:
                oldest = min((k for k in self.idle.values() if k), key=lambda k: k[0].used)
                drop.append(oldest.pop(0))
        for k in drop:
            k.sock.close()


def _route(what: StartAttempt | StartHealthCheck) -> RouteKey:
    return what.destination if what.route is None else what.route


def _request(what: StartAttempt, now: float) -> bytes:
    """A call as it is written: a single message, or several in one body."""
    headers = {"X-Time-Left": f"{max(what.deadline - now, 0.001):.3f}"}
    host = f"{what.host}:{what.port}"
    if len(what.items) == 1:
        call = what.items[0].content
        headers["X-Correlation-Id"] = call.id
        if call.idempotency_key is not None:
            headers["Idempotency-Key"] = call.idempotency_key
        return encode_call("POST", "/receive", host, headers, call.body)
    headers["Content-Type"] = "application/json"
    return encode_call(
        "POST", "/receive-many", host, headers, encode_batch(item.content for item in what.items)
    )
