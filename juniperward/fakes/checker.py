"""The checker: from the stand-ins' records alone, whether every rule held in a run. Pure.

Each violation names its rule, the message or worker, and the whole story: every record about it, in order. The
rules are those of the protocol page; `Bounds` has their figures. What is allowed on purpose: a repeat whose
effect the partner drops, a notice that comes again, and a notice for a message that was delivered at that very
moment, or to a forwarder whose process ended before it could write that down.
"""

from __future__ import annotations

import bisect
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field

from juniperward.fakes.records import (
    AnyRecord,
    Called,
    Effect,
    Handed,
    Heard,
    Hung,
    Life,
    Noticed,
    Replied,
    Told,
)


@dataclass(frozen=True, slots=True)
class Bounds:
    """Figures of the rules, in seconds; worths from 0 to 1."""

    drain: float = 0.25  # after being told, nothing new goes to a worker that drains
    wait_slack: float = 0.1  # calls that were under way when a wait was told
    end_slack: float = 0.3  # after its time, a message must have its end
    crossing: float = 0.05  # an answer and a notice may cross for so long
    restart_slack: float = 1.5  # no notice is overdue until so long after a forwarder is back
    aim: float = 3.0
    deadline: float = 20.0
    late_worth: float = 0.3


@dataclass(frozen=True, slots=True)
class Violation:
    """A rule that was broken."""

    rule: str
    what: str
    at: float
    text: str
    story: tuple[AnyRecord, ...]

    def __str__(self) -> str:
        lines = [f"{self.rule}: {self.what}: {self.text}"]
        lines += [f"  {r.at - self.at:+9.3f} s  {r}" for r in self.story]
        return "\n".join(lines)


@dataclass(slots=True)
class Verdict:
    """What the records of a run say."""

    violations: list[Violation] = field(default_factory=list)
    asked: int = 0  # messages that clients had, each with all its tries
    handed: int = 0  # tries
    taken: int = 0
    delivered: int = 0
    noticed: int = 0  # taken and ended by a notice
    refused: int = 0
    unanswered: int = 0
    calls: int = 0
    repeats: int = 0  # messages in calls beyond each message's first
    effects: int = 0
    unfinished: int = 0  # taken, its time not over when the records end
    worth: float = 0.0  # delivered over asked for
    latencies: list[float] = field(default_factory=list)  # from due to effect, delivered ones
    by_account: dict[str, float] = field(default_factory=dict)

    @property
    def good(self) -> bool:
        return not self.violations

    def lines(self) -> list[str]:
        """For people."""
        found = [f"{len(self.violations)} violations"] if self.violations else ["every rule held"]
        return found + [str(v) for v in self.violations[:10]]


class _Index:
    """The records sorted and grouped, so that each rule is a short walk."""

    def __init__(self, records: Iterable[AnyRecord]) -> None:
        self.all = sorted(records, key=lambda r: r.at)
        self.end = self.all[-1].at if self.all else 0.0
        self.handed: dict[str, Handed] = {}
        self.heard: dict[str, Heard] = {}
        self.calls: dict[int, Called] = {}
        self.ends: dict[int, Replied | Hung] = {}
        self.of_message: dict[str, list[Called]] = defaultdict(list)
        self.notices: dict[str, list[Noticed]] = defaultdict(list)
        self.effects: dict[str, list[Effect]] = defaultdict(list)  # by key
        self.told: dict[tuple[str, str], list[Told]] = defaultdict(list)
        self.lives: dict[str, list[Life]] = defaultdict(list)
        for r in self.all:
            match r:
                case Handed():
                    self.handed[r.id] = r
                case Heard():
                    self.heard[r.id] = r
                case Called():
                    self.calls[r.call] = r
                    for name in r.ids:
                        self.of_message[name].append(r)
                case Replied() | Hung():
                    self.ends[r.call] = r
                case Noticed():
                    self.notices[r.id].append(r)
                case Effect():
                    self.effects[r.key].append(r)
                case Told():
                    self.told[r.forwarder, r.worker].append(r)
                case Life():
                    self.lives[r.forwarder].append(r)

    def forwarder(self, call: Called) -> str:
        """Who made a call: messages are never passed on between forwarders."""
        h = self.handed.get(call.ids[0]) if call.ids else None
        return h.forwarder if h is not None else "?"

    def state(self, call: int, place: int) -> str:
        """How one message of a call ended: a state, or `hung`."""
        end = self.ends.get(call)
        return end.states[place] if isinstance(end, Replied) and place < len(end.states) else "hung"

    def delivered_at(self, name: str) -> float | None:
        """When a call with it was first answered as delivered."""
        for c in self.of_message.get(name, ()):
            if self.state(c.call, c.ids.index(name)) == "ok":
                return self.ends[c.call].at
        return None

    def restarted(self, forwarder: str, since: float, until: float) -> bool:
        """Whether a forwarder's process ended or began between two moments."""
        return any(since <= x.at <= until for x in self.lives.get(forwarder, ()) if x.what != "term")

    def back(self, forwarder: str, at: float) -> float:
        """When a forwarder that was away at a moment was there again; the moment itself if it was there."""
        away = at
        down = False
        for x in self.lives.get(forwarder, ()):
            if x.at > at and not down:
                break
            if x.what in ("term", "kill", "exit"):
                down = x.at <= at or down
            elif x.what == "start":
                if down and x.at > at:
                    return x.at
                down = False
        return self.end if down else away

    def story(self, name: str) -> tuple[AnyRecord, ...]:
        """All about a message, and the lives of its forwarder."""
        h = self.handed.get(name)
        found: list[AnyRecord] = [h] if h is not None else []
        if name in self.heard:
            found.append(self.heard[name])
        for c in self.of_message.get(name, ()):
            found.append(c)
            if c.call in self.ends:
                found.append(self.ends[c.call])
        found += self.notices.get(name, ())
        if h is not None:
            found += [e for e in self.effects.get(h.key, ()) if e.id == name]
            found += self.lives.get(h.forwarder, ())
        return tuple(sorted(found, key=lambda r: r.at))


def check(records: Iterable[AnyRecord], bounds: Bounds = Bounds()) -> Verdict:  # noqa: B008
    """The verdict on a run."""
    x = _Index(records)
    v = Verdict()
    _ends(x, bounds, v)
    _copies(x, v)
    _effects(x, v)
    _drains(x, bounds, v)
    _waits(x, bounds, v)
    _strangers(x, v)
    _worth(x, bounds, v)
    v.violations.sort(key=lambda found: found.at)
    return v


def _ends(x: _Index, bounds: Bounds, v: Verdict) -> None:
    """Each message that was taken has exactly one final answer, in its time."""
    for name, h in x.handed.items():
        v.handed += 1
        heard = x.heard.get(name)
        status = heard.status if heard is not None else 0
        v.refused += status in (429, 503)
        v.unanswered += status == 0
        notices = x.notices.get(name, [])
        delivered = x.delivered_at(name)
        if status not in (200, 202):
            if notices and status in (429, 503):
                _found(v, x, "one end", name, notices[0].at, "a notice for a message that was refused")
            continue
        v.taken += 1
        v.delivered += delivered is not None
        v.noticed += bool(notices) and delivered is None
        if len({n.status for n in notices}) > 1:
            _found(v, x, "one end", name, notices[-1].at, "two notices that differ")
        if delivered is not None and notices:
            first = min(delivered, notices[0].at)
            # An answer that is written as the forwarder's time runs out crosses with the notice on the way.
            crossed = 0 <= notices[0].at - delivered <= bounds.crossing
            crossed |= x.restarted(h.forwarder, first - 5.0, max(delivered, notices[-1].at))
            if not crossed:
                _found(v, x, "one end", name, notices[0].at, "delivered, and ended by a notice too")
        if delivered is None and not notices:
            due = x.back(h.forwarder, h.expires)
            due += bounds.end_slack + (bounds.restart_slack if due > h.expires else 0.0)
            if x.end >= due:
                _found(v, x, "one end", name, h.expires, "taken, and never ended: it is lost")
            else:
                v.unfinished += 1
        elif delivered is None:
            due = x.back(h.forwarder, h.expires)
            due += bounds.end_slack + (bounds.restart_slack if due > h.expires else 0.0)
            if notices[0].at > due:
                late = notices[0].at - due
                _found(v, x, "one end", name, notices[0].at, f"its end came {late:.3f} s late")


def _found(v: Verdict, x: _Index, rule: str, name: str, at: float, text: str) -> None:
    v.violations.append(Violation(rule, name, at, text, x.story(name)))


def _copies(x: _Index, v: Verdict) -> None:
    """No second copy of a message is out while the first is."""
    for name, calls in x.of_message.items():
        v.calls += len(calls)
        v.repeats += len(calls) - 1
        open_until = float("-inf")
        for c in calls:
            if c.at < open_until:
                _found(v, x, "one copy", name, c.at, "a second copy came while the first was out")
            end = x.ends.get(c.call)
            open_until = max(open_until, end.at if isinstance(end, Replied) else c.at)


def _effects(x: _Index, v: Verdict) -> None:
    """No message takes effect twice: a partner drops a repeat only inside its window."""
    for effects in x.effects.values():
        v.effects += 1
        if len(effects) > 1:
            after = effects[1].at - effects[0].at
            _found(
                v,
                x,
                "one effect",
                effects[1].id,
                effects[1].at,
                f"a second effect {after:.3f} s after the first",
            )


def _drains(x: _Index, bounds: Bounds, v: Verdict) -> None:
    """Nothing new goes to a worker that the forwarder was told drains or is gone."""
    times = {key: [t.at for t in told] for key, told in x.told.items()}
    for c in x.calls.values():
        who = x.forwarder(c)
        told = x.told.get((who, c.worker), [])
        place = bisect.bisect_right(times.get((who, c.worker), []), c.began) - 1
        # The word that counts is the first of the latest run of words that it drains.
        while place > 0 and told[place].state != "Ready" and told[place - 1].state != "Ready":
            place -= 1
        if place >= 0 and told[place].state != "Ready" and c.began > told[place].at + bounds.drain:
            late = c.began - told[place].at
            text = f"{who} sent {c.ids[0]} there {late:.3f} s after it was told {told[place].state}"
            v.violations.append(Violation("drain", c.worker, c.began, text, (*told, c)))


def _waits(x: _Index, bounds: Bounds, v: Verdict) -> None:
    """A forwarder that was told to wait sends nothing to that partner before the wait is over."""
    waits: dict[tuple[str, int], list[tuple[float, float, Replied]]] = defaultdict(list)
    for number, end in x.ends.items():
        c = x.calls.get(number)
        if c is not None and isinstance(end, Replied) and end.wait > 0:
            waits[x.forwarder(c), c.destination].append((end.at, end.at + end.wait, end))
    for c in x.calls.values():
        who = x.forwarder(c)
        for at, until, end in waits.get((who, c.destination), ()):
            if at + bounds.wait_slack < c.began < until - 0.002 and not x.restarted(who, at, c.began):
                text = f"{who} sent {c.ids[0]} {until - c.began:.3f} s before the end of a wait of {end.wait:.3f} s"
                v.violations.append(
                    Violation("wait", f"destination {c.destination}", c.began, text, (end, c))
                )
                break


def _strangers(x: _Index, v: Verdict) -> None:
    """Only what a client handed in goes out, to its own destination, with its own key."""
    for c in x.calls.values():
        for name, key in zip(c.ids, c.keys, strict=True):
            h = x.handed.get(name)
            if h is None:
                _found(
                    v, x, "stranger", name, c.at, f"call {c.call} carries a message that no client handed in"
                )
            elif h.destination != c.destination:
                _found(v, x, "stranger", name, c.at, f"it is for {h.destination} and went to {c.destination}")
            elif h.key != key:
                _found(v, x, "stranger", name, c.at, f"its key is {h.key}, and it went out with {key}")
            elif x.heard.get(name) is not None and x.heard[name].status in (429, 503):
                _found(v, x, "stranger", name, c.at, "it was refused, and sent all the same")


def _worth(x: _Index, bounds: Bounds, v: Verdict) -> None:
    """Worth delivered over worth asked for; a message's tries count together."""
    asked: dict[str, Handed] = {}
    best: dict[str, float] = {}
    for name, h in x.handed.items():
        asked.setdefault(h.first, h)
        heard, at = x.heard.get(name), x.delivered_at(name)
        if heard is not None and heard.status in (200, 202) and at is not None:
            best[h.first] = min(best.get(h.first, float("inf")), at - h.due)
    by_account: dict[str, list[float]] = defaultdict(list)
    for first, h in asked.items():
        took = best.get(first)
        worth = 0.0
        if took is not None:
            v.latencies.append(took)
            late = max(took - bounds.aim, 0.0) / (bounds.deadline - bounds.aim)
            worth = 1.0 - min(late, 1.0) * (1.0 - bounds.late_worth) if late <= 1.0 else 0.0
        by_account[h.account].append(worth)
    v.asked = len(asked)
    total = sum(map(sum, by_account.values()))
    v.worth = total / len(asked) if asked else 1.0
    v.by_account = {a: sum(w) / len(w) for a, w in sorted(by_account.items())}
