"""Adapter between the simulator's wire and the interface; it decides nothing.

It hosts any number of senders, answers each batch with one flushed reply and
exits at the end of input. Unknown keys are passed over; malformed input ends
the process with one plain line on standard error.
"""

from __future__ import annotations

import json
import sys
from typing import Any, TextIO

from juniperward.scheduler import interface as i
from juniperward.scheduler.rules import Sender

MS = 0.001


class WireError(Exception):
    """The input does not follow the wire."""


def settings_from(config: dict[str, Any]) -> i.Settings:
    """Build the settings from a `Config` object."""
    limits, rules = config.get("Limits", {}), config.get("Invariants", {})
    specifics = config.get("Specifics", {})
    batches = specifics.get("BatchByKind") or []
    apart = specifics.get("RoutesApart") or []
    count = max(len(config.get("Kinds", [])), len(batches), len(apart))
    kinds = tuple(
        i.Kind(batch=batches[k] if k < len(batches) else 1, routes_apart=bool(k < len(apart) and apart[k]))
        for k in range(count)
    )
    classes = tuple(_class(n, c) for n, c in enumerate(config.get("Services", [])))
    return i.Settings(
        classes=classes,
        slots=specifics.get("MaxCalls", 1),
        max_open=limits.get("MaxOpen", 1),
        kinds=kinds,
        tenants=tuple(i.Tenant(quota=t.get("QuotaPerS", 0.0)) for t in config.get("Tenants") or []),
        instances=config.get("Instances", 1),
        max_attempts=limits.get("MaxAttempts", 1),
        over_share_worth=config.get("OverShareWorth", 1.0),
        worth_loss=_enum(i.WorthLoss, "LosesWorth", specifics.get("LosesWorth", "even")),
        answer_slack=rules.get("AnswerSlackMs", 0.0) * MS,
        cold_share=rules.get("ColdShare", 0.2),
        warm_within=rules.get("WarmWithinMs", 10000.0) * MS,
        fall_multiple=rules.get("FallMultiple", 1.5),
        fall_span=rules.get("FallMs", 2000.0) * MS,
        key_rest=(rules.get("KeyRestMs") or 0.0) * MS,
        keepalive=limits.get("KeepaliveMs", 10000.0) * MS,
        dial_timeout=limits.get("DialTimeoutMs", 1000.0) * MS,
        streams=limits.get("StreamsPerConn", 1),
        max_retry_after=limits.get("MaxRetryAfterMs", 0.0) * MS if limits.get("RetryAfter") else 0.0,
        resolution=config.get("ResolutionMs", 5.0) * MS,
        on_request=config.get("MembershipMode") == "on_request",
        rated=config.get("Weights") in ("nominal", "rough"),
        rating_off=0.5 if config.get("Weights") == "rough" else 0.0,
        probing=bool(limits.get("Probing", False)),
        cancel=bool(limits.get("Cancel", False)),
        second_copies=bool(limits.get("MayDuplicate", False)),
        refused_price=specifics.get("RefusedPrice", 0.0),
        tolls=tuple(specifics.get("Toll") or ()),
    )


def _class(number: int, c: dict[str, Any]) -> i.MessageClass:
    """One of `Services`; what is wrong with it is told with its place."""
    try:
        return i.MessageClass(
            aim=c["AimMs"] * MS,
            deadline=c["DeadlineMs"] * MS,
            effect=_enum(i.Effect, "Effect", c.get("Effect", "repeatable")),
            worth=c.get("Worth", 1.0),
            late_worth=c.get("LateWorth", 0.0),
            dedup_scope=_enum(i.DedupScope, "DedupScope", c.get("DedupScope", "all")),
            window=c.get("WindowMs", 0.0) * MS,
            in_order=bool(c.get("InOrder", False)),
            aim_stretch=c.get("AimStretch") or 0.0,
        )
    except KeyError as error:
        raise ValueError(f"Services[{number}]: {error.args[0]!r} is missing") from error
    except (ValueError, TypeError) as error:
        raise ValueError(f"Services[{number}]: {error}") from error


def _enum(kind: Any, field: str, value: object) -> Any:
    try:
        return kind(value)
    except ValueError:
        raise ValueError(f"{field}: unknown value {value!r}") from None


class Link:
    """Turns batches of wire lines into replies."""

    def __init__(self) -> None:
        self.senders: dict[str, Sender] = {}
        self.lists: dict[int, tuple[i.Endpoint, ...]] = {}

    def answer(self, now_ms: float, lines: list[tuple[str, dict[str, Any]]]) -> list[dict[str, Any]]:
        """The actions for one batch, in the order of first mention of each instance."""
        pending: dict[str, list[i.Event]] = {}
        replies: list[dict[str, Any]] = []
        for name, body in lines:
            if name == "Catalog":
                self.lists[body["Slot"]] = tuple(_entry(h) for h in body["Hosts"])
                continue
            who = body["Who"]
            if name == "Exit":
                self.senders.pop(who, None)
                pending.pop(who, None)
            elif name == "Configure":
                pending[who] = []
                try:
                    self.senders[who] = Sender(settings_from(body["Config"]), body["Entropy"])
                except (ValueError, KeyError) as error:
                    pending.pop(who)
                    replies.append({"Die": {"Who": who, "NoteText": f"settings: {error}"}})
            else:
                event = self._event(name, body)
                if event is not None and who in self.senders:
                    pending.setdefault(who, []).append(event)
        for who, events in pending.items():
            try:
                actions = self.senders[who].handle(now_ms * MS, events)
            except Exception as error:  # whatever fails in the rules ends the day with its reason
                place = error.__traceback__
                while place is not None and place.tb_next is not None:
                    place = place.tb_next
                line = place.tb_lineno if place else 0
                replies.append(
                    {"Die": {"Who": who, "NoteText": f"{type(error).__name__}: {error} (line {line})"}}
                )
                continue
            replies.extend(_action(who, action) for action in actions)
        return replies

    def _event(self, name: str, b: dict[str, Any]) -> i.Event | None:
        if name == "Query":
            return i.Arrived(
                b["Corr"],
                b["Qos"],
                b["ToExchange"],
                b["BudgetMs"] * MS,
                b.get("Customer") or 0,
                b.get("Entity"),
                (b.get("SizeHintMs") or 0.0) * MS,
            )
        if name == "Settled":
            report = b.get("Report") or {}
            outcome, note = i.Outcome(b["Status"]), b.get("WaitMs") or 0
            return i.Settled(
                b["Corr"],
                b["SendNo"],
                b["Endpoint"],
                outcome,
                b["DelaySeenMs"] * MS,
                bool(b.get("Ended")),
                note * MS if outcome is i.Outcome.FULL else 0.0,
                outcome is i.Outcome.MOOT and note == 1,
                report.get("x0"),
                report.get("x1"),
            )
        if name == "TickDue":
            return i.TimerFired(b["Nonce"])
        if name == "Fleet":
            scope = i.ListScope(b["Scope"])
            entries = () if scope is i.ListScope.FAILED else self.lists[b["Slot"]]
            return i.Listed(scope, entries)
        if name == "Withdrawn":
            return i.Withdrawn(b["Corr"])
        if name == "Accepted":
            return i.Accepted(b["Corr"], b["SendNo"], b["Endpoint"])
        if name == "Probed":
            report = b.get("Report") or {}
            return i.Probed(
                b["Endpoint"],
                i.Outcome(b["Status"]),
                b["DelaySeenMs"] * MS,
                report.get("x0"),
                report.get("x1"),
            )
        if name == "Whisper":
            return None
        raise WireError(f"unknown event {name!r}")


def _entry(h: dict[str, Any]) -> i.Endpoint:
    return i.Endpoint(
        h["Endpoint"],
        h["Cell"],
        i.Phase(h["Phase"]),
        h.get("Flavor") or 0,
        h.get("Locality") or 0,
        h.get("Rating") or 0.0,
    )


def _action(who: str, a: i.Action) -> dict[str, Any]:
    if isinstance(a, i.Send):
        return {"Send": {"Who": who, "Corr": a.message, "Endpoint": a.endpoint, "TimeoutMs": a.timeout / MS}}
    if isinstance(a, i.SetTimer):
        return {"After": {"Who": who, "OffsetMs": a.delay / MS, "Nonce": a.token}}
    if isinstance(a, i.Refuse):
        return {"NotNow": {"Who": who, "Corr": a.message, "RetryInMs": a.retry_after / MS}}
    if isinstance(a, i.Fail):
        return {"DropRequest": {"Who": who, "Corr": a.message}}
    if isinstance(a, i.Cancel):
        return {"Withdraw": {"Who": who, "Corr": a.message, "SendNo": a.attempt}}
    if isinstance(a, i.Probe):
        return {"Touch": {"Who": who, "Endpoint": a.endpoint}}
    if isinstance(a, i.Close):
        return {"Release": {"Who": who, "Endpoint": a.endpoint}}
    if isinstance(a, i.Watch):
        return {"StreamChanges": {"Who": who, "On": True}}
    return {"Emit": {"Who": who, "NoteText": a.text}}


def serve(source: TextIO, sink: TextIO) -> None:
    """Answer batches until the input ends."""
    link = Link()
    mark: dict[str, Any] | None = None
    lines: list[tuple[str, dict[str, Any]]] = []
    for number, text in enumerate(source, 1):
        if not text.strip():
            continue
        try:
            message = json.loads(text)
            if not isinstance(message, dict) or len(message) != 1:
                raise WireError("not an object with a single key")
            ((name, body),) = message.items()
            if not isinstance(body, dict):
                raise WireError(f"{name} holds no object")
            if name == "Mark":
                if mark is not None:
                    raise WireError("Mark inside a batch")
                mark, lines = body, []
            elif mark is None:
                raise WireError(f"{name} outside a batch")
            elif name != "Go":
                lines.append((name, body))
            else:
                replies = link.answer(mark["TimeMs"], lines)
                replies.append({"Eor": {"turn": mark["turn"]}})
                sink.write("".join(json.dumps(r, separators=(",", ":")) + "\n" for r in replies))
                sink.flush()
                mark = None
        except (WireError, ValueError, KeyError, TypeError) as error:
            raise WireError(f"line {number}: {type(error).__name__}: {error}") from error
    if mark is not None:
        raise WireError("the input ended inside a batch")


def main() -> int:
    """Run on standard input and output."""
    try:
        serve(sys.stdin, sys.stdout)
    except WireError as error:
        print(f"benchlink: {error}", file=sys.stderr)
        return 1
    return 0
