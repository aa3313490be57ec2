"""Stand-ins of partners: their workers on loopback, with limits, waits, a repeat window, outages, a recovery ramp.

A partner's rules follow the protocol page: a rate in spans of a second (429 with a wait, or 503 without),
a queue, a repeat of a key within the window answered as delivered without a second effect, few connections,
and after an outage a capacity that rises from a part of the usual; pushed above twice that for long, it falls
over and stays down.
"""

from __future__ import annotations

import json
import random
import threading
import time
from collections import deque
from dataclasses import dataclass

from juniperward.fakes.discovery import ListedEndpoint
from juniperward.fakes.records import Called, Effect, Hung, Recorder, Replied, now
from juniperward.fakes.serving import Link, Serving
from juniperward.net.http import HttpRequest, encode_response

FALL_TIMES, FALL_SPAN = (
    2.0,
    3.0,
)  # pushed so many times its present capacity for so many seconds, it falls over


@dataclass(frozen=True, slots=True)
class _Call:
    """A call that a worker is serving: its record number, its messages' ids and keys, and whether it is a batch."""

    number: int
    rows: list[tuple[str, str]]
    many: bool


@dataclass(frozen=True, slots=True)
class _Answer:
    """What a worker answers: an HTTP status, every message's state, the Retry-After in seconds (0: none).

    `lists_states` writes the states in the body, as a batch that was served answers.
    """

    status: int
    state: str
    wait_s: float = 0.0
    lists_states: bool = False


@dataclass(frozen=True, slots=True)
class PartnerSpec:
    """What a partner is; times in seconds, rates in calls a second."""

    destination: int
    kind: str = "small-partners"
    workers: int = 2
    latency: float = 0.05  # mean time of a call
    spread: float = 0.3  # coefficient of variation
    at_once: int = 16  # calls that a worker serves at once
    queue: int = 32  # calls that wait beyond that
    rate: float = 0.0  # limit of all workers together; 0: none
    tells_wait: float = 0.8  # part of the refusals that tell a wait
    batch: int = 1
    window: float = 12.0  # a repeat within it takes no second effect
    connections: int = 1000  # each worker holds
    warm_up_start_share: float = 0.18  # part of its capacity right after an outage
    warm_up_s: float = 10.0  # seconds until all of it is back

    @property
    def capacity(self) -> float:
        """Calls a second that all workers can serve."""
        return self.rate or self.workers * self.at_once / self.latency


class Partner:
    """One partner and its workers."""

    def __init__(self, spec: PartnerSpec, recorder: Recorder, seed: int) -> None:
        """Draw service times from a seed; what happens goes to `recorder`."""
        self.spec, self.recorder = spec, recorder
        self.random = random.Random(seed)
        self.lock = threading.Lock()
        self.doors = [
            Serving(lambda link, request, began, n=n: self._handle(n, link, request, began), spec.connections)  # type: ignore[misc]
            for n in range(spec.workers)
        ]
        self.busy = [0] * spec.workers
        self.done: dict[str, float] = {}  # keys that took effect, and when
        self.span: deque[float] = deque()  # calls of the last second that count against the rate
        self.pushes: deque[float] = deque()  # all calls of the last FALL_SPAN
        self.mode = "well"  # well, shut, failing, down or silent
        self.fail_share = 1.0
        self.until = 0.0  # of a shut, as it is told
        self.back_at: float | None = None
        self.fallen = False

    def start(self) -> list[ListedEndpoint]:
        """Listen; the entries for discovery."""
        for door in self.doors:
            door.start()
        return self.entries()

    def worker(self, number: int) -> str:
        """Return the id of an endpoint."""
        return f"s-{self.spec.destination}-{number}"

    def entries(self, state: str = "Ready", number: int | None = None) -> list[ListedEndpoint]:
        """Its workers as the list has them, or one of them."""
        s = self.spec
        chosen = range(s.workers) if number is None else (number,)
        return [
            ListedEndpoint(self.worker(n), self.doors[n].address, s.destination, s.kind, s.rate, state)
            for n in chosen
        ]

    def close(self) -> None:
        """End all workers."""
        for door in self.doors:
            door.stop()

    def inject_fault(self, mode: str, seconds: float = 0.0, share: float = 1.0) -> None:
        """Go into an outage: shut (refuses all), failing (a share of the calls), down or silent; or `well`."""
        with self.lock:
            before, self.mode, self.fail_share = self.mode, mode, share
            self.until = now() + seconds
            if mode == "well" and before != "well":
                self.back_at = now()
        if mode == "down":
            self.close()
        elif before == "down":
            for door in self.doors:
                door.start()

    def present(self) -> float:
        """Calls a second that it can take now."""
        if self.fallen:
            return 0.0
        if self.back_at is None:
            return self.spec.capacity
        spec = self.spec
        warmed = min((now() - self.back_at) / spec.warm_up_s, 1.0)
        return spec.capacity * (spec.warm_up_start_share + (1 - spec.warm_up_start_share) * warmed)

    # --- calls ---------------------------------------------------------------------------------------------

    def _handle(self, number: int, link: Link, request: HttpRequest, began: float) -> bool:
        """Serve one call of worker `number`: record it, refuse it or serve it; False ends the connection."""
        call = self.recorder.call()
        many = request.path == "/receive-many"
        try:
            if many:
                rows = [(str(r["id"]), str(r.get("key", r["id"]))) for r in json.loads(request.body)]
            else:
                name = request.headers["x-correlation-id"]
                rows = [(name, request.headers.get("idempotency-key", name))]
        except (ValueError, KeyError, TypeError):
            return link.write(encode_response(400, {}, b"", False))
        ids, keys = tuple(r[0] for r in rows), tuple(r[1] for r in rows)
        s = self.spec
        self.recorder.add(Called(now(), call, self.worker(number), s.destination, ids, keys, began))
        served = _Call(call, rows, many)
        if many and len(rows) > s.batch:
            return self._answer(link, served, _Answer(413, "later"))
        with self.lock:
            refused = self._refused(number)
            if refused is None:
                self.busy[number] += 1
                busy = self.busy[number]
                chance, latency = self.random.random(), self._latency()
        if refused is not None:
            status, wait = refused
            return self._answer(link, served, _Answer(status, "later", wait))
        try:
            return self._work(link, served, busy, chance, latency)
        finally:
            with self.lock:
                self.busy[number] -= 1

    def _work(self, link: Link, call: _Call, busy: int, chance: float, latency: float) -> bool:
        """Serve a call that was let in: fail it, hang it, or take effect and answer 200."""
        s = self.spec
        if self.mode == "failing" and chance < self.fail_share:
            time.sleep(0.01)
            return self._answer(link, call, _Answer(500, "error"))
        behind = max(busy - s.at_once, 0) / s.at_once  # what waits ahead of it, in calls' times
        time.sleep(latency * (1 + behind) * min(s.capacity / max(self.present(), 0.01), 20.0))
        if self.mode in ("silent", "down"):
            until = now() + 30.0
            while self.mode == "silent" and not link.gone() and now() < until:
                time.sleep(0.02)
            self.recorder.add(Hung(now(), call.number))
            return False
        for name, key in call.rows:
            self._effect(name, key)
        return self._answer(link, call, _Answer(200, "ok", lists_states=call.many))

    def _latency(self) -> float:
        """Draw a service time in seconds: gamma-distributed with the spec's mean and coefficient of variation."""
        s = self.spec
        shape = 1 / max(s.spread, 0.01) ** 2
        return self.random.gammavariate(shape, s.latency / shape)

    def _effect(self, name: str, key: str) -> None:
        """Record a message's effect, unless its key took effect within the repeat window."""
        at = now()
        with self.lock:
            before = self.done.get(key)
            if before is not None and at - before < self.spec.window:
                return
            self.done[key] = at
        self.recorder.add(Effect(at, self.spec.destination, name, key))

    def _refused(self, number: int) -> tuple[int, float] | None:
        """Status and wait of a refusal, or None; under the lock."""
        s, at = self.spec, now()
        while self.pushes and at - self.pushes[0] > FALL_SPAN:
            self.pushes.popleft()
        self.pushes.append(at)
        warming_up = self.back_at is not None and at - self.back_at < s.warm_up_s
        if warming_up and len(self.pushes) > FALL_TIMES * self.present() * FALL_SPAN + 10:
            self.fallen = True
        if self.fallen:
            return 503, 0.0
        if self.mode == "shut":
            wait = self.until - at
            return (429, wait) if wait > 0 and self.random.random() < s.tells_wait else (503, 0.0)
        if self.busy[number] >= s.at_once + s.queue:
            return 503, 0.0
        if s.rate:
            while self.span and at - self.span[0] >= 1.0:
                self.span.popleft()
            if len(self.span) >= s.rate:
                wait = self.span[0] + 1.0 - at
                return (429, wait) if self.random.random() < s.tells_wait else (503, 0.0)
            self.span.append(at)
        return None

    def _answer(self, link: Link, call: _Call, answer: _Answer) -> bool:
        """Write an answer and record it, or record the call as hung where it could not be written."""
        wait = answer.wait_s
        headers = {"Retry-After": f"{wait:.3f}"} if wait > 0 else {}
        body = b""
        if answer.lists_states:
            body = json.dumps([{"id": name, "state": answer.state} for name, _ in call.rows]).encode()
        at = now()
        written = not link.gone() and link.write(encode_response(answer.status, headers, body, False))
        if written:
            self.recorder.add(Replied(at, call.number, (answer.state,) * len(call.rows), round(wait, 3)))
        else:
            self.recorder.add(Hung(now(), call.number))
        return written
