"""What an oracle sees of the world: the true state of partners now, and the calls that are on their way to them."""

from __future__ import annotations

from collections import deque

from juniperward.simulation.world import FALL_SPAN, FALL_TIMES, NET, WARM, World

CLOSED = ("DOWN", "SILENT", "SHUT", "FAILING")


class Observation:
    """One for each world: all forwarders' oracles share it, as they would have to agree on who calls."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.coming: dict[int, deque[float]] = {}  # until when calls count as on their way; partners below 0

    def might_serve(self, worker: int) -> bool:
        """Whether a call that goes now would be served at once, and well; if so, its place is held for it."""
        world = self.world
        now, w = world.now, world.workers[worker]
        p = world.partners[w.partner - 1]
        if p.mode in CLOSED or p.fallen:
            return False
        held, whole = self._coming(w.number), self._coming(-p.number)
        if w.busy + len(w.queue) + len(held) >= p.spec.at_once:
            return False
        recent = sum(t > now - 1.0 + 2 * NET for t in p.span)
        if p.spec.rate and recent + len(whole) + 1 > p.spec.rate:
            return False
        if p.back_at is not None and now - p.back_at < WARM:
            pushed = sum(now - t <= FALL_SPAN for t in p.pushes) + len(whole)
            if pushed + 1 > FALL_TIMES * p.present(now) * FALL_SPAN:
                return False
        held.append(now + 2 * NET)
        whole.append(now + 2 * NET)
        return True

    def _coming(self, number: int) -> deque[float]:
        found = self.coming.setdefault(number, deque())
        while found and found[0] <= self.world.now:  # it has come, and is counted where it is
            found.popleft()
        return found

    def batch(self, worker: int) -> int:
        """Messages that one call to it carries."""
        return max(int(self.world.partners[self.world.workers[worker].partner - 1].spec.batch), 1)
