"""Calls to workers: a thread each while one is out, and the connections that are kept between them."""

from __future__ import annotations

import base64
import json
import math
import queue
import re
import socket
import threading
import time
from collections.abc import Callable
from dataclasses import replace
from typing import Any

from juniperward.forwarder.counters import count, log, trouble
from juniperward.forwarder.messages import (
    Answered,
    Began,
    Delegate,
    End,
    Event,
    Look,
    Looked,
    Parcel,
    Progress,
    Record,
    Route,
)
from juniperward.forwarder.trace import Trace
from juniperward.net import sockets
from juniperward.net.http import Broken, Malformed, Response, Stream, encode_call, read_response
from nickelscale.interface import Outcome

KEEP_PART = 0.9  # part of the workers' keepalive after which an idle connection is not used any more
LONGEST = 60.0  # seconds after which a read ends whatever the reducer forgot; a class with more time has more
ANSWER = 0.5  # seconds that an answer may take from its first byte to its last
REST = 0.01  # seconds after an answer before its connection is used again: what is behind it shows by then
MOST_WAIT = 3600.0  # seconds; what tells a longer wait than this tells none
MOST_REPORT = 1024  # bytes of a load report
SECONDS = re.compile(r"[0-9]{1,9}(?:\.[0-9]{0,9})?")
STATES = {
    "ok": (Outcome.OK, False),
    "error": (Outcome.ERROR, False),
    "later": (Outcome.FULL, False),
    "gone": (Outcome.MOOT, True),
    "exhausted": (Outcome.MOOT, False),
}


class Job:
    """A delegation in the hands of a thread."""

    def __init__(self, what: Delegate | Look) -> None:
        self.what = what
        self.sock: socket.socket | None = None
        self.abandoned = False
        self.progress = Progress.WAITS
        self.struck: set[int] = set()  # messages that are over and must not be written


class Kept:
    """A connection to a worker."""

    def __init__(self, sock: socket.socket, address: tuple[str, int], longest: float = LONGEST) -> None:
        self.sock, self.address, self.longest = sock, address, longest
        self.stream = Stream(self._receive)
        self.used = time.monotonic()
        self.until: float | None = None  # when the answer that has begun must be whole
        self.limited = False

    def begun(self, begun: bool) -> None:
        """An answer may be long in coming, but not in arriving."""
        self.until = time.monotonic() + ANSWER if begun else None

    def _receive(self, size: int) -> bytes:
        if self.until is not None:
            left = self.until - time.monotonic()
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
        post: Callable[[Event], None], note: Callable[[Record], None] = lambda record: None,
        longest: float = LONGEST,
    ) -> None:  # fmt: skip
        self.longest = max(longest, LONGEST)
        self.dial_timeout, self.keep = dial_timeout, keepalive * KEEP_PART
        self.most_threads, self.most_idle, self.post, self.note = most_threads, most_idle, post, note
        self.ended = False  # nothing is begun any more
        self.lock = threading.Lock()
        self.jobs: queue.SimpleQueue[Job] = queue.SimpleQueue()
        self.active: dict[int, Job] = {}
        self.idle: dict[int, list[Kept]] = {}
        self.barred: set[int] = set()
        self.held: dict[Route, float] = {}
        self.threads = self.free = 0
        self.trace: Trace | None = None

    # --- effects, called by the loop ----------------------------------------------------------------

    def delegate(self, what: Delegate | Look) -> None:
        """Have a thread make this call, or this probe."""
        job = Job(what)
        with self.lock:
            self.active[what.number] = job
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
        self.jobs.put(job)

    def abandon(self, number: int) -> Progress:
        """Close the connection of a call, whose end is not reported any more; how far it had come."""
        with self.lock:
            job = self.active.pop(number, None)
            if job is None:
                return Progress.OVER
            job.abandoned = True
            sock, progress = job.sock, job.progress
        if sock is not None:
            sockets.shut(sock)
        return progress

    def strike(self, number: int, message: int) -> Progress:
        """Leave a message out of a call, if nothing of the call is written yet; how far it has come.

        The others of the call may wait for seconds behind a dial; this one is over meanwhile.
        """
        with self.lock:
            job = self.active.get(number)
            if job is None:
                return Progress.OVER
            if job.progress is Progress.WAITS:
                job.struck.add(message)
            return job.progress

    def close_idle(self, worker: int) -> None:
        """Close the connections to a worker that no call is on."""
        with self.lock:
            kept = self.idle.pop(worker, [])
        for k in kept:
            k.sock.close()

    def bar(self, worker: int, barred: bool) -> None:
        """Write nothing new to a worker that drains or is gone."""
        with self.lock:
            (self.barred.add if barred else self.barred.discard)(worker)
        if barred:
            self.close_idle(worker)

    def forget(self, worker: int) -> None:
        """Keep nothing of a worker that is gone and that no call is out to."""
        self.close_idle(worker)
        with self.lock:
            self.barred.discard(worker)

    def hold(self, route: Route, until: float) -> None:
        """Write nothing to a route that told a wait."""
        with self.lock:
            self.held[route] = max(until, self.held.get(route, until))

    def _heed(self, what: Delegate | Look, wait: float) -> None:
        """Hold a route from the moment its wait is read, not from when the loop gets to the answer.

        Between the two, other threads write what the module decided before it knew: on a busy process that
        was longer than the 100 ms that the rule lets through.
        """
        if wait > 0:
            self.hold(_route(what), time.monotonic() + wait)

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
            for route in [r for r, until in self.held.items() if until <= now]:
                del self.held[route]
        for k in old:
            k.sock.close()

    def end(self) -> None:
        """Begin nothing any more: what would be written from here on, the journal's next reader might not find."""
        with self.lock:
            self.ended = True

    # --- threads --------------------------------------------------------------------------------------

    def _work(self) -> None:
        while True:
            job = self.jobs.get()
            what, begun = job.what, time.monotonic()
            result: Event
            try:
                if isinstance(what, Look):
                    result = self._look(job, what, begun)
                else:
                    result = Answered(what.number, self._call(job, what))
            except Exception as error:
                trouble("worker", error)
                result = (
                    Looked(what.number, what.worker, Outcome.RESET, time.monotonic() - begun)
                    if isinstance(what, Look)
                    else Answered(what.number, _all(what, Outcome.RESET))
                )
            with self.lock:
                self.free += 1
                known = self.active.pop(what.number, None) is not None
            if known and not job.abandoned:
                self.post(result)

    def _look(self, job: Job, what: Look, begun: float) -> Looked:
        """A probe: it counts as a call, so it heeds drains and waits as calls do, and it uses a kept connection."""
        address = (what.host, what.port)

        def ended(outcome: Outcome, answer: Response | None = None) -> Looked:
            more = read_report(answer.headers) if answer is not None else {}
            wait = read_wait(answer.headers) if answer is not None else 0.0
            return Looked(what.number, what.worker, outcome, time.monotonic() - begun, wait=wait, **more)

        kept = self._take_idle(what.worker, address)
        fresh = kept is None
        if kept is None:
            kept = self._dial(job, address)
            if kept is None:
                return ended(Outcome.CONNECT_FAILED)
        job.sock = kept.sock
        if self._begin(job) is None:
            count("probes_withheld")
            self._put_back(what.worker, kept)
            return ended(Outcome.MOOT)
        left = max(what.deadline - time.monotonic(), 0.001)
        try:
            sockets.limit(kept.sock, socket.SO_RCVTIMEO, left)
            kept.sock.sendall(encode_call("GET", "/health/live", f"{what.host}:{what.port}", {}, None))
            answer = read_response(kept.stream, kept.begun)
            sockets.limit(kept.sock, socket.SO_RCVTIMEO, self.longest)
        except (Broken, Malformed, OSError) as error:
            kept.sock.close()
            if time.monotonic() >= what.deadline:  # the stream tells a read that took too long as broken
                return ended(Outcome.TIMEOUT)
            count("probes_spoilt")
            log("probe", f"{what.host}:{what.port} gave no whole answer: {error}")
            return ended(Outcome.CONNECT_FAILED if fresh and isinstance(error, ConnectionError) else Outcome.RESET)
        count("probes_answered")
        self._heed(what, read_wait(answer.headers))
        if answer.close or job.abandoned or kept.stream.buffer:
            kept.sock.close()
        else:
            self._put_back(what.worker, kept)
        return ended(read_look(answer, fresh), answer)

    def _call(self, job: Job, what: Delegate) -> tuple[End, ...]:
        address = (what.host, what.port)
        kept = self._take_idle(what.worker, address)
        fresh = kept is None
        if kept is None:
            kept = self._dial(job, address)
            if kept is None:
                return _all(what, Outcome.CONNECT_FAILED, begun=False)
        else:
            job.sock = kept.sock
            count("connections_reused")
        parcels = self._begin(job)
        if not parcels:
            # It waited behind a dial: what came meanwhile from the registry or the worker binds it.
            count("delegations_withheld")
            self._put_back(what.worker, kept)
            return _all(what, Outcome.MOOT, begun=False)
        # What ended meanwhile was told its end: sent on now it would run, and be brought a second time.
        if len(parcels) == len(what.parcels):
            return self._exchange(job, what, kept, fresh)
        count("messages_left_out", len(what.parcels) - len(parcels))
        ends = {end.message: end for end in _all(what, Outcome.MOOT, begun=False)}
        ends |= {end.message: end for end in self._exchange(job, replace(what, parcels=parcels), kept, fresh)}
        return tuple(ends.values())

    def _exchange(self, job: Job, what: Delegate, kept: Kept, fresh: bool) -> tuple[End, ...]:
        """Write a call and read its answer; the connection is put back, or closed."""
        try:
            kept.sock.sendall(_request(what, time.monotonic()))
        except OSError:
            kept.sock.close()
            return _all(what, Outcome.CONNECT_FAILED)
        with self.lock:
            job.progress = Progress.WRITTEN
        try:
            answer = read_response(kept.stream, kept.begun)
        except (Broken, Malformed, OSError) as error:
            kept.sock.close()
            if not job.abandoned:
                count("answers_spoilt")
                log("worker", f"{what.host}:{what.port} gave no whole answer: {error}")
            # A first line with 200 has delivered a single message, whatever becomes of the rest.
            whole = len(what.parcels) == 1 and getattr(error, "status", None) == 200
            return _all(what, Outcome.OK if whole else Outcome.RESET)
        if self.trace is not None:
            headers = f"{answer.headers}"
            self.trace.answered(what.number, fresh, answer.status, answer.close, headers)
        # More than one answer, also late (see `_take_idle`): what is behind must not be the next call's.
        behind = bool(kept.stream.buffer)
        if behind:
            count("answers_with_more")
        if answer.close or job.abandoned or behind:
            kept.sock.close()
        else:
            self._put_back(what.worker, kept)
        self._heed(what, read_wait(answer.headers))
        return read_ends(what, answer, fresh)

    def _dial(self, job: Job, address: tuple[str, int]) -> Kept | None:
        try:
            sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        except OSError as error:  # for want of descriptors: nothing of the call was written, so it has not run
            count("dials_failed")
            log("dial", f"no socket for worker {address[0]}:{address[1]}: {error}")
            return None
        job.sock = sock
        left = min(self.dial_timeout, job.what.deadline - time.monotonic())
        try:
            if job.abandoned or left <= 0:
                raise TimeoutError
            sockets.connect(*address, left, sock)
            sockets.limit(sock, socket.SO_RCVTIMEO, self.longest)
        except OSError as error:
            sock.close()
            count("dials_failed")
            log("dial", f"worker {address[0]}:{address[1]}: {error or 'too late'}")
            return None
        count("connections_opened")
        return Kept(sock, address, self.longest)

    def _begin(self, job: Job) -> tuple[Parcel, ...] | None:
        """Begin to write, unless that is barred by now (None); the messages that may still be written.

        They are journalled here, before their first byte and not when the module decided: a process killed while
        a call waits for its connection leaves its messages untried.
        """
        what, now = job.what, time.monotonic()
        with self.lock:
            free = what.worker not in self.barred and now >= self.held.get(_route(what), -math.inf)
            if not free or job.abandoned or self.ended or now >= what.deadline:
                return None
            if isinstance(what, Look):
                return ()
            parcels = []
            for p in what.parcels:
                if p.message not in job.struck and now < p.until:
                    try:
                        self.note(Began(p.call.id, now, what.name))
                    except OSError as error:  # written without its record it would come back as untried
                        count("journal_failures")
                        log("journal", f"cannot write: {error}; its message is not sent")
                        break
                    parcels.append(p)
            if parcels:
                job.progress = Progress.WRITES
            return tuple(parcels)

    def _take_idle(self, worker: int, address: tuple[str, int]) -> Kept | None:
        """The connection used most recently that has rested and is still good; where none has, the eldest."""
        while True:
            now = time.monotonic()
            with self.lock:
                kept = self.idle.get(worker)
                if not kept:
                    return None
                # They stand in the order of their use: only the latest few can still be resting.
                place = next((n for n in range(len(kept) - 1, -1, -1) if now - kept[n].used >= REST), 0)
                k = kept.pop(place)
            rested = now - k.used
            if rested < REST:
                time.sleep(REST - rested)
            good = k.address == address and rested < self.keep
            if good and not k.stream.buffer and sockets.quiet(k.sock):
                return k
            k.sock.close()

    def _put_back(self, worker: int, kept: Kept) -> None:
        kept.used = time.monotonic()
        drop: list[Kept] = [kept]
        with self.lock:
            if worker not in self.barred:
                self.idle.setdefault(worker, []).append(kept)
                drop = []
            if sum(map(len, self.idle.values())) > self.most_idle:
                oldest = min((k for k in self.idle.values() if k), key=lambda k: k[0].used)
                drop.append(oldest.pop(0))
        for k in drop:
            k.sock.close()


def _route(what: Delegate | Look) -> Route:
    return what.destination if what.route is None else what.route


def _all(what: Delegate, outcome: Outcome, wait: float = 0.0, **more: Any) -> tuple[End, ...]:
    return tuple(End(p.message, outcome, wait, **more) for p in what.parcels)


def _request(what: Delegate, now: float) -> bytes:
    """A call as it is written: a single message, or several in one body."""
    headers = {"X-Time-Left": f"{max(what.deadline - now, 0.001):.3f}"}
    host = f"{what.host}:{what.port}"
    if len(what.parcels) == 1:
        call = what.parcels[0].call
        headers["X-Correlation-Id"] = call.id
        if call.key is not None:
            headers["Idempotency-Key"] = call.key
        return encode_call("POST", "/receive", host, headers, call.body)
    rows = []
    for p in what.parcels:
        row = {"id": p.call.id, "body": base64.b64encode(p.call.body).decode()}
        if p.call.key is not None:
            row["key"] = p.call.key
        rows.append(row)
    headers["Content-Type"] = "application/json"
    body = json.dumps(rows, separators=(",", ":")).encode()
    return encode_call("POST", "/receive-many", host, headers, body)


def read_wait(headers: dict[str, str]) -> float:
    """The wait that an answer tells, in seconds."""
    text = headers.get("retry-after", "0")
    wait = float(text) if SECONDS.fullmatch(text) else 0.0
    return wait if wait <= MOST_WAIT else 0.0


def read_json(text: bytes, most_open: int) -> Any:
    """Decode JSON of so many arrays and objects at most; raises ValueError.

    The decoder goes down in C with each that opens: 128 KiB of stack end before its own limit does.
    """
    if text.count(b"{") + text.count(b"[") > most_open:
        raise ValueError("too many arrays and objects")
    return json.loads(text)


def read_report(headers: dict[str, str]) -> dict[str, Any]:
    """The load report of an answer, where there is one that makes sense."""
    text = headers.get("x-backend-load", "").encode("latin-1")
    if not text:
        return {}
    try:
        given = read_json(text, 1)
        found = {name: float(given[x]) for name, x in (("room", "x0"), ("limit", "x1")) if x in given}
        # `x0` is a share of the limit, so within 0 and 1; a limit is a rate.
        if len(text) <= MOST_REPORT and all(0 <= x < math.inf for x in found.values()) and found.get("room", 0) <= 1:
            return found
    except (ValueError, TypeError, OverflowError):
        pass
    count("reports_unread")
    return {}


def read_look(answer: Response, fresh: bool = False) -> Outcome:
    """What a probe's answer says of its worker ('Forwarders to endpoints': 200 or 503)."""
    match answer.status:
        case 200:
            return Outcome.OK
        case 503 if fresh and answer.close and not read_wait(answer.headers):
            count("tables_full")
            return Outcome.CONNECT_FAILED  # no place in its table, as for a call
        case 503 | 429:
            return Outcome.FULL
        case status:
            count("probes_unknown")
            log("probe", f"a probe was answered {status}, which is taken as an error")
            return Outcome.ERROR


def read_ends(what: Delegate, answer: Response, fresh: bool = False) -> tuple[End, ...]:
    """What an answer says of each message of a call ('Forwarders to endpoints'); `fresh`: on a new connection."""
    wait, more = read_wait(answer.headers), read_report(answer.headers)
    many = len(what.parcels) > 1
    match answer.status:
        case 200 if many:
            return _each(what, answer, wait, more)
        case 200:
            return _all(what, Outcome.OK, wait, **more)
        case 429:
            return _all(what, Outcome.FULL, wait, **more)
        case 503 if answer.headers.get("x-over-slots") == "1":
            return _all(what, Outcome.MOOT, wait, slots_taken=True, **more)
        case 503 if fresh and answer.close and wait <= 0:
            # Over its limit a worker keeps the connection; one that it ends at once had no place in its table.
            count("tables_full")
            return _all(what, Outcome.CONNECT_FAILED, table_full=True, **more)
        case 503:
            return _all(what, Outcome.FULL, wait, **more)
        case 504:
            return _all(what, Outcome.MOOT, wait, **more)
        case 410:
            return _all(what, Outcome.MOOT, wait, over=True, **more)
        case 400 | 413 if many:
            count("batches_unread")
            log("worker", f"{what.host}:{what.port} does not take a call of {len(what.parcels)} messages")
            return _all(what, Outcome.MOOT, wait, **more)
        case 500:
            return _all(what, Outcome.ERROR, wait, **more)
        case status:
            count("answers_unknown")
            log("worker", f"{what.host}:{what.port} answered {status}, which is taken as an error")
            return _all(what, Outcome.ERROR, wait, **more)


def _each(what: Delegate, answer: Response, wait: float, more: dict[str, Any]) -> tuple[End, ...]:
    """The ends of several messages; one that is not named, or not in words we know, may have run."""
    states: dict[str, tuple[Outcome, bool]] = {}
    try:
        for row in read_json(answer.body, 1 + len(what.parcels)):
            states[row["id"]] = STATES.get(row["state"], (Outcome.ERROR, False))
    except (ValueError, TypeError, KeyError):
        states = {}
        count("answers_unread")
        log("worker", f"{what.host}:{what.port} answered several messages with what cannot be read")
    ends = []
    for p in what.parcels:
        outcome, over = states.get(p.call.id, (Outcome.ERROR, False))
        ends.append(End(p.message, outcome, wait, over=over, **more))
    return tuple(ends)
