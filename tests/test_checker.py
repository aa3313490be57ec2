"""The checker must be seen to fail: a good run's records, and each violation planted in them."""

from __future__ import annotations

import tempfile
import unittest
from collections.abc import Callable
from pathlib import Path

from juniperward.fakes.checker import Verdict, check
from juniperward.fakes.records import (
    AnyRecord,
    Called,
    Effect,
    Handed,
    Heard,
    Hung,
    Noticed,
    ProcessEvent,
    Recorder,
    Replied,
    WatchEventSent,
    read,
)


def message(name: str, at: float, call: int, destination: int = 1, forwarder: str = "n0") -> list[AnyRecord]:
    """A message that was taken and delivered at once."""
    return [
        Handed(at, name, name, f"k{name}", "c", "acme", destination, forwarder, at, at + 20.0),
        Heard(at + 0.01, name, 202),
        Called(at + 0.02, call, f"s-{destination}-0", destination, (name,), (f"k{name}",), at + 0.02),
        Effect(at + 0.05, destination, name, f"k{name}"),
        Replied(at + 0.06, call, ("ok",)),
    ]


def run() -> list[AnyRecord]:
    """A good run: deliveries, a refusal handed in again, a wait, a notice, a restart, a drain."""
    records = [r for n in range(5) for r in message(f"m{n}", 10.0 + n, n + 1, 1 + n % 2, f"n{n % 2}")]
    records += [
        WatchEventSent(1.0, "n0", "s-1-0", "Ready"), WatchEventSent(1.0, "n1", "s-1-0", "Ready"),
        WatchEventSent(20.0, "n0", "s-1-0", "Terminating"),
        Handed(30.0, "x", "x", "kx", "c", "acme", 2, "n0", 30.0, 50.0), Heard(30.01, "x", 503, 1.0),
        Handed(31.0, "x-2", "x", "kx", "c", "acme", 2, "n1", 30.0, 50.0), Heard(31.01, "x-2", 202),
        Called(31.02, 20, "s-2-0", 2, ("x-2",), ("kx",), 31.02), Replied(31.03, 20, ("later",), 2.0),
        Called(33.1, 21, "s-2-0", 2, ("x-2",), ("kx",), 33.1), Hung(34.0, 21),
        Called(34.1, 22, "s-2-0", 2, ("x-2",), ("kx",), 34.1), Effect(34.2, 2, "x-2", "kx"),
        Replied(34.3, 22, ("ok",)),
        Handed(40.0, "y", "y", "ky", "c", "acme", 2, "n1", 40.0, 60.0), Heard(40.01, "y", 202),
        Noticed(59.9, "y", "undeliverable", "n1"),
        ProcessEvent(5.0, "n0", "start"), ProcessEvent(5.0, "n1", "start"),
        ProcessEvent(100.0, "n1", "exit"), ProcessEvent(101.0, "n1", "start"),
    ]  # fmt: skip
    return records


class CheckerTest(unittest.TestCase):
    def test_a_good_run_is_good(self) -> None:
        v = check(run())
        self.assertEqual(v.lines(), ["every rule held"])
        self.assertEqual(
            (v.offered, v.handed, v.taken, v.delivered, v.noticed, v.refused), (7, 8, 7, 6, 1, 1)
        )
        self.assertAlmostEqual(v.priority_weight_delivered, (5 + 1 - (4.3 - 3.0) / 17.0 * 0.7) / 7, places=6)
        self.assertTrue(check([]).good)

    def plant(self, rule: str, what: str, change: Callable[[list[AnyRecord]], list[AnyRecord]]) -> Verdict:
        v = check(change(run()))
        self.assertIn(rule, [x.rule for x in v.violations], f"{rule} was not seen")
        found = next(x for x in v.violations if x.rule == rule)
        self.assertEqual(found.what, what)
        self.assertTrue(found.story)
        self.assertIn(rule, v.lines()[1])
        return v

    def test_a_lost_message_is_seen(self) -> None:
        self.plant("one end", "y", lambda rs: [r for r in rs if not isinstance(r, Noticed)])

    def test_a_late_end_is_seen(self) -> None:
        late = Noticed(60.5, "y", "undeliverable", "n1")
        self.plant("one end", "y", lambda rs: [*(r for r in rs if not isinstance(r, Noticed)), late])

    def test_a_late_end_after_a_restart_has_its_slack(self) -> None:
        away: list[AnyRecord] = [ProcessEvent(59.0, "n1", "kill"), ProcessEvent(61.0, "n1", "start")]
        records = [r for r in run() if not isinstance(r, Noticed)] + away
        self.assertTrue(check([*records, Noticed(62.5, "y", "undeliverable", "n1")]).good)
        self.assertFalse(check([*records, Noticed(63.0, "y", "undeliverable", "n1")]).good)

    def test_two_ends_are_seen(self) -> None:
        self.plant("one end", "m1", lambda rs: [*rs, Noticed(12.0, "m1", "undeliverable", "n1")])
        self.plant("one end", "y", lambda rs: [*rs, Noticed(59.95, "y", "deferred", "n1")])
        self.plant("one end", "x", lambda rs: [*rs, Noticed(30.5, "x", "deferred", "n0")])

    def test_a_notice_that_comes_again_is_no_second_end(self) -> None:
        self.assertTrue(check([*run(), Noticed(59.95, "y", "undeliverable", "n1")]).good)

    def test_a_notice_that_crossed_the_answer_is_allowed(self) -> None:
        # Guards against a verdict on a race that the protocol page calls harmless: 1 ms after the answer.
        self.assertTrue(check([*run(), Noticed(11.06 + 0.04, "m1", "undeliverable", "n1")]).good)
        self.assertFalse(check([*run(), Noticed(11.06 + 0.06, "m1", "undeliverable", "n1")]).good)

    def test_a_notice_that_crossed_a_restart_is_allowed(self) -> None:
        crossed: list[AnyRecord] = [
            ProcessEvent(12.0, "n1", "kill"), ProcessEvent(12.5, "n1", "start"),
            Noticed(25.0, "m1", "undeliverable", "n1"),
        ]  # fmt: skip
        self.assertTrue(check([*run(), *crossed]).good)

    def test_a_second_copy_is_seen(self) -> None:
        copy = Called(10.03, 90, "s-1-0", 1, ("m0",), ("km0",), 10.03)
        self.plant("one copy", "m0", lambda rs: [*rs, copy, Replied(10.2, 90, ("ok",))])

    def test_a_call_after_one_that_hung_is_no_second_copy(self) -> None:
        self.assertEqual(check(run()).repeats, 2)

    def test_a_second_effect_is_seen(self) -> None:
        self.plant("one effect", "m0", lambda rs: [*rs, Effect(25.0, 1, "m0", "km0")])

    def test_a_call_to_a_draining_worker_is_seen(self) -> None:
        def late(after: float) -> list[AnyRecord]:
            return [*run(), *message("z", 20.0 + after - 0.02, 91)]

        self.assertTrue(check(late(0.24)).good)
        self.plant("drain", "s-1-0", lambda _: late(0.26))
        # Notified again that it drains, it is not given another quarter of a second.
        self.plant("drain", "s-1-0", lambda _: [*late(5.0), WatchEventSent(24.9, "n0", "s-1-0", "Gone")])
        self.assertTrue(check([*late(5.0), WatchEventSent(24.0, "n0", "s-1-0", "Ready")]).good)

    def test_a_call_within_a_wait_is_seen(self) -> None:
        early = Called(32.5, 92, "s-2-1", 2, ("x-2",), ("kx",), 32.5)
        self.plant("wait", "destination 2", lambda rs: [*rs, early])
        under_way = Called(31.1, 92, "s-2-1", 2, ("x-2",), ("kx",), 31.1)
        self.assertNotIn("wait", [v.rule for v in check([*run(), under_way]).violations])
        restart: list[AnyRecord] = [ProcessEvent(32.0, "n1", "kill"), ProcessEvent(32.3, "n1", "start")]
        self.assertNotIn("wait", [v.rule for v in check([*run(), *restart, early]).violations])

    def test_strangers_are_seen(self) -> None:
        one = Called(15.0, 93, "s-1-0", 1, ("who",), ("k",), 15.0)
        self.plant("stranger", "who", lambda rs: [*rs, one])
        self.plant("stranger", "m0", lambda rs: [*rs, Called(15.0, 94, "s-9-0", 9, ("m0",), ("km0",), 15.0)])
        self.plant("stranger", "m0", lambda rs: [*rs, Called(15.0, 95, "s-1-0", 1, ("m0",), ("kk",), 15.0)])
        self.plant("stranger", "x", lambda rs: [*rs, Called(32.0, 96, "s-2-0", 2, ("x",), ("kx",), 32.0)])

    def test_records_come_back_from_a_file(self) -> None:
        recorder = Recorder()
        for r in run():
            recorder.add(r)
        with tempfile.TemporaryDirectory() as folder:
            recorder.write(Path(folder) / "a")
            self.assertEqual(list(read([Path(folder) / "a"])), run())
