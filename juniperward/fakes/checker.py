"""The checker: from the fakes' records alone, whether every rule held in a run. Pure.

Each violation names its rule, the message or endpoint, and the whole story: every record about it, in order. The
rules are those of the protocol page; `Bounds` has their figures. What is allowed on purpose: a repeat whose
effect the partner drops, a notice that comes again, and a notice for a message that was delivered at that very
moment, or to a forwarder whose process ended before it could write that down.
"""

from __future__ import annotations

import bisect
import math
from collections import defaultdict
from collections.abc import Iterable

from juniperward.fakes.record_index import RecordIndex
from juniperward.fakes.records import AnyRecord, Called, Handed, Noticed, Replied, WatchEventSent
from juniperward.fakes.verdict import Bounds, Verdict, Violation

__all__ = ["Bounds", "Verdict", "Violation", "check"]

ACCEPTED = (200, 202)
REJECTED = (429, 503)
RESTART_LOOKBACK_S = 5.0  # before an end, for a restart that explains a second one
WAIT_TOLERANCE_S = 0.002


def check(records: Iterable[AnyRecord], bounds: Bounds = Bounds()) -> Verdict:  # noqa: B008
    """Return the verdict on a run."""
    return _Checker(RecordIndex(records), bounds).verdict()


class _Checker:
    """Applies each rule to the records once."""

    def __init__(self, records: RecordIndex, bounds: Bounds) -> None:
        self._records, self._bounds = records, bounds
        self._verdict = Verdict()

    def verdict(self) -> Verdict:
        """Apply every rule and return the verdict, its violations sorted by time."""
        self._check_ends()
        self._check_copies()
        self._check_effects()
        self._check_draining()
        self._check_waits()
        self._check_strangers()
        self._sum_up_priority_weight()
        self._verdict.violations.sort(key=lambda violation: violation.at)
        return self._verdict

    def _found(self, rule: str, name: str, at: float, text: str) -> None:
        """Note a violation about a message, with its story."""
        self._verdict.violations.append(Violation(rule, name, at, text, self._records.story(name)))

    # --- one final answer ----------------------------------------------------------------------------------

    def _check_ends(self) -> None:
        """Each message that was accepted has exactly one final answer, in its time."""
        verdict = self._verdict
        for name, submitted in self._records.handed.items():
            verdict.handed += 1
            heard = self._records.heard.get(name)
            status = heard.status if heard is not None else 0
            verdict.refused += status in REJECTED
            verdict.unanswered += status == 0
            notices = self._records.notices.get(name, [])
            if status in ACCEPTED:
                self._check_end(name, submitted, notices)
            elif notices and status in REJECTED:
                self._found("one end", name, notices[0].at, "a notice for a message that was refused")

    def _check_end(self, name: str, submitted: Handed, notices: list[Noticed]) -> None:
        """Check the end of a message that was accepted."""
        verdict, delivered_at = self._verdict, self._records.delivered_at(name)
        verdict.taken += 1
        verdict.delivered += delivered_at is not None
        verdict.noticed += bool(notices) and delivered_at is None
        if len({notice.status for notice in notices}) > 1:
            self._found("one end", name, notices[-1].at, "two notices that differ")
        if delivered_at is None:
            self._check_end_in_time(name, submitted, notices)
        elif notices and not self._may_cross(submitted.forwarder, delivered_at, notices):
            self._found("one end", name, notices[0].at, "delivered, and ended by a notice too")

    def _may_cross(self, forwarder: str, delivered_at: float, notices: list[Noticed]) -> bool:
        """Return whether an answer written as the forwarder's time runs out may cross with the notice."""
        noticed_at = notices[0].at
        if 0 <= noticed_at - delivered_at <= self._bounds.crossing:
            return True
        since = min(delivered_at, noticed_at) - RESTART_LOOKBACK_S
        return self._records.restarted(forwarder, since, max(delivered_at, notices[-1].at))

    def _check_end_in_time(self, name: str, submitted: Handed, notices: list[Noticed]) -> None:
        """Check that an accepted message that was not delivered was ended by a notice in time."""
        records, bounds = self._records, self._bounds
        due = records.back(submitted.forwarder, submitted.expires)
        due += bounds.end_slack + (bounds.restart_slack if due > submitted.expires else 0.0)
        if notices:
            if notices[0].at > due:
                late_s = notices[0].at - due
                self._found("one end", name, notices[0].at, f"its end came {late_s:.3f} s late")
        elif records.end >= due:
            self._found("one end", name, submitted.expires, "taken, and never ended: it is lost")
        else:
            self._verdict.unfinished += 1

    # --- copies and effects --------------------------------------------------------------------------------

    def _check_copies(self) -> None:
        """No second copy of a message is out while the first is."""
        for name, calls in self._records.of_message.items():
            self._verdict.calls += len(calls)
            self._verdict.repeats += len(calls) - 1
            open_until = -math.inf
            for call in calls:
                if call.at < open_until:
                    self._found("one copy", name, call.at, "a second copy came while the first was out")
                end = self._records.ends.get(call.call)
                open_until = max(open_until, end.at if isinstance(end, Replied) else call.at)

    def _check_effects(self) -> None:
        """No message takes effect twice: a partner drops a repeat only inside its window."""
        for effects in self._records.effects.values():
            self._verdict.effects += 1
            if len(effects) > 1:
                first, second = effects[0], effects[1]
                text = f"a second effect {second.at - first.at:.3f} s after the first"
                self._found("one effect", second.id, second.at, text)

    # --- drains and waits ----------------------------------------------------------------------------------

    def _check_draining(self) -> None:
        """Nothing new goes to an endpoint that the forwarder was told drains or is gone."""
        records = self._records
        times = {key: [event.at for event in events] for key, events in records.watch_events.items()}
        for call in records.calls.values():
            who = records.forwarder(call)
            events = records.watch_events.get((who, call.worker), [])
            place = bisect.bisect_right(times.get((who, call.worker), []), call.began) - 1
            event = _first_of_run(events, place)
            if event is not None and call.began > event.at + self._bounds.drain:
                late_s = call.began - event.at
                text = f"{who} sent {call.ids[0]} there {late_s:.3f} s after it was told {event.state}"
                violation = Violation("drain", call.worker, call.began, text, (*events, call))
                self._verdict.violations.append(violation)

    def _check_waits(self) -> None:
        """A forwarder that was told to wait sends nothing to that partner before the wait is over."""
        waits = self._waits()
        for call in self._records.calls.values():
            who = self._records.forwarder(call)
            end = self._wait_broken(call, who, waits.get((who, call.destination), []))
            if end is not None:
                early_s = end.at + end.wait - call.began
                text = (
                    f"{who} sent {call.ids[0]} {early_s:.3f} s before the end of a wait of {end.wait:.3f} s"
                )
                place = f"destination {call.destination}"
                self._verdict.violations.append(Violation("wait", place, call.began, text, (end, call)))

    def _waits(self) -> dict[tuple[str, int], list[Replied]]:
        """Return the answers that told a wait, by forwarder and destination."""
        waits: dict[tuple[str, int], list[Replied]] = defaultdict(list)
        for number, end in self._records.ends.items():
            call = self._records.calls.get(number)
            if call is not None and isinstance(end, Replied) and end.wait > 0:
                waits[self._records.forwarder(call), call.destination].append(end)
        return waits

    def _wait_broken(self, call: Called, who: str, waits: list[Replied]) -> Replied | None:
        """Return the answer whose wait a call broke, if it broke one."""
        for end in waits:
            until = end.at + end.wait
            inside = end.at + self._bounds.wait_slack < call.began < until - WAIT_TOLERANCE_S
            if inside and not self._records.restarted(who, end.at, call.began):
                return end
        return None

    # --- strangers -----------------------------------------------------------------------------------------

    def _check_strangers(self) -> None:
        """Only what a client handed in goes out, to its own destination, with its own key."""
        for call in self._records.calls.values():
            for name, key in zip(call.ids, call.keys, strict=True):
                if wrong := self._wrong(call, name, key):
                    self._found("stranger", name, call.at, wrong)

    def _wrong(self, call: Called, name: str, key: str | None) -> str:
        """Return what is wrong with a message of a call, or an empty text."""
        submitted = self._records.handed.get(name)
        if submitted is None:
            return f"call {call.call} carries a message that no client handed in"
        if submitted.destination != call.destination:
            return f"it is for {submitted.destination} and went to {call.destination}"
        if submitted.key != key:
            return f"its key is {submitted.key}, and it went out with {key}"
        heard = self._records.heard.get(name)
        if heard is not None and heard.status in REJECTED:
            return "it was refused, and sent all the same"
        return ""

    # --- priority weight -----------------------------------------------------------------------------------

    def _sum_up_priority_weight(self) -> None:
        """Priority weight delivered over priority weight asked for; a message's tries count together."""
        verdict, records = self._verdict, self._records
        offered: dict[str, Handed] = {}
        took_s: dict[str, float] = {}
        for name, submitted in records.handed.items():
            first = submitted.first
            offered.setdefault(first, submitted)
            heard, at = records.heard.get(name), records.delivered_at(name)
            if heard is not None and heard.status in ACCEPTED and at is not None:
                took_s[first] = min(took_s.get(first, math.inf), at - submitted.due)
        by_account: dict[str, list[float]] = defaultdict(list)
        for first, submitted in offered.items():
            by_account[submitted.account].append(self._priority_weight(took_s.get(first)))
        verdict.latencies = [took_s[first] for first in offered if first in took_s]
        verdict.offered = len(offered)
        total = sum(map(sum, by_account.values()))
        verdict.priority_weight_delivered = total / len(offered) if offered else 1.0
        verdict.by_account = {
            account: sum(weights) / len(weights) for account, weights in sorted(by_account.items())
        }

    def _priority_weight(self, took_s: float | None) -> float:
        """Return the priority weight of a delivery that took `took_s` seconds; None stands for no delivery.

        1 up to the latency objective, falling linearly to the late weight at the deadline, 0 beyond it.
        """
        if took_s is None:
            return 0.0
        bounds = self._bounds
        objective_s = bounds.latency_objective_s
        late = max(took_s - objective_s, 0.0) / (bounds.deadline - objective_s)
        return 1.0 - late * (1.0 - bounds.late_weight) if late <= 1.0 else 0.0


def _first_of_run(events: list[WatchEventSent], place: int) -> WatchEventSent | None:
    """Return the first of the latest run of watch events that an endpoint drains.

    `place` indexes the latest event at or before the call; None where the endpoint is ready, or no event came yet.
    """
    if place < 0 or events[place].state == "Ready":
        return None
    while place > 0 and events[place - 1].state != "Ready":
        place -= 1
    return events[place]
