"""The slots of a group of threads: who gets them, and which waits are counted."""

from __future__ import annotations

import threading

import pytest

from juniperward.forwarder import concurrency_limit
from juniperward.forwarder.concurrency_limit import MAX_WAIT_S, ConcurrencyLimit, Slots
from juniperward.forwarder.telemetry import counters
from tests.player import WAIT_S


def test_a_slot_is_free_again_after_an_error() -> None:
    limit = ConcurrencyLimit(1, "tests")
    for _ in range(3):
        with pytest.raises(ValueError, match="work"), limit:
            raise ValueError("work")
        with pytest.raises(ValueError, match="call"), limit, limit.blocking:
            raise ValueError("call")


def test_a_slot_goes_to_the_thread_that_has_waited_for_longest() -> None:
    # Guards against threads that give back a slot and take the next one, and leave none to those that wait.
    slots = Slots(1)
    assert slots.try_take() is None
    turns = [slots.try_take() for _ in range(2)]
    for number, turn in enumerate(turns):
        slots.put()
        assert slots.try_take() is not None  # The thread that gave it back queues up.
        assert [each is not None and each.locked() for each in turns] == [False] * (number + 1) + [True] * (
            1 - number
        )
        assert turn is not None


class LateSlots(Slots):
    """Slots that are each free only after a wait, by the clock of the module under test."""

    def __init__(self, wait_s: float) -> None:
        super().__init__(0, "tests")
        self.wait_s, self.now = wait_s, 0.0

    def monotonic(self) -> float:
        return self.now


def test_threads_that_take_and_return_slots_never_wait_for_ever() -> None:
    # Guards against a slot that is returned while a thread queues up, and then lies free beside that thread.
    limit = ConcurrencyLimit(2, "tests")
    rounds = 2000

    def take_repeatedly() -> None:
        for _ in range(rounds):
            with limit, limit.blocking:
                pass

    threads = [threading.Thread(target=take_repeatedly, daemon=True) for _ in range(8)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join(WAIT_S)
    assert not any(thread.is_alive() for thread in threads)


class LateTurn:
    """The turn of a thread that waits, which comes after a time."""

    def __init__(self, slots: LateSlots) -> None:
        self.slots = slots

    def acquire(self) -> None:
        self.slots.now += self.slots.wait_s


def test_a_long_wait_for_a_slot_is_counted(monkeypatch: pytest.MonkeyPatch) -> None:
    # Tells threads that wait for others of their group from a late loop.
    before = counters().get("threads_late_tests", 0)
    for wait_s, late in ((MAX_WAIT_S, 0), (2 * MAX_WAIT_S, 1)):
        slots = LateSlots(wait_s)
        monkeypatch.setattr(concurrency_limit, "time", slots)
        monkeypatch.setattr(slots, "try_take", lambda slots=slots: LateTurn(slots))
        slots.take()
        assert counters().get("threads_late_tests", 0) == before + late
