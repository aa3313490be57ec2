"""What clients may request about dead letters, by action; called by `dead_letter_service`.

Actions: list, show, resend, settle, discard, undo, stats, audit, simulate, check, backup.
"""

from __future__ import annotations

import base64
from collections.abc import Callable, Mapping
from http import HTTPStatus
from pathlib import Path
from typing import Any

from juniperward.agent.dead_letter_errors import InvalidRequestError, PageSizeError, ReasonMissingError
from juniperward.agent.redrive_preview import preview_redrives, redrive_settings
from juniperward.agent.replies import ApiResponse, ErrorReply
from juniperward.agent.running_fleet import RunningFleet
from juniperward.dead_letters.clock import latest_possible_time
from juniperward.dead_letters.dead_letter import DeadLetter, Status
from juniperward.dead_letters.operator_actions import ManualSettlement
from juniperward.dead_letters.redrive_rules import requested_by
from juniperward.dead_letters.redrive_safety import assess_redrive
from juniperward.dead_letters.redriver import Redriver
from juniperward.dead_letters.selection import START_POSITION, Filter, Position
from juniperward.dead_letters.store import DeadLetterStore
from juniperward.dead_letters.store_errors import LeaseLostError

MAX_PAGE = 500
DEFAULT_PAGE = 100
CHANGES = frozenset({"resend", "settle", "discard", "undo"})
FILTERS = {  # the keys of a request, and the fields of `Filter`
    "stand": "status",
    "destination": "destination",
    "cls": "class_name",
    "account": "account",
    "key": "idempotency_key",
    "since": "since",
    "until": "until",
    "wished": "redrive_requested",
}
JUDGEMENT = ("kind", "may_go", "why", "wanted_by")

Options = dict[str, Any]


class DeadLetterQueries:
    """Answers by the store and the redriver's rules; used by any thread."""

    def __init__(
        self,
        store: DeadLetterStore,
        fleet: RunningFleet,
        redriver: Redriver,
        progress: Callable[[], dict[str, Any]],
    ) -> None:
        """Take what `stats` reports of the redriver's thread from `progress`."""
        self._store, self._fleet, self._redriver = store, fleet, redriver
        self._progress = progress
        self._handlers: dict[str, Callable[[Options], dict[str, Any]]] = {
            "list": self._list,
            "stats": self._stats,
            "audit": self._audit,
            "simulate": self._preview,
            "check": self._check,
            "backup": self._backup,
        }

    def answer(self, options: Options, who: str) -> ApiResponse:
        """Answer one request; `who` is the user at the other end."""
        try:
            return self._answer(str(options.get("action", "")), _ids(options), options, who)
        except InvalidRequestError as error:
            return ApiResponse(HTTPStatus.BAD_REQUEST, ErrorReply(f"ValueError: {error}"))
        except (TypeError, ValueError, KeyError) as error:
            return ApiResponse(HTTPStatus.BAD_REQUEST, ErrorReply(f"{type(error).__name__}: {error}"))
        except LeaseLostError as error:
            return ApiResponse(HTTPStatus.CONFLICT, ErrorReply(str(error)))

    def _answer(self, action: str, ids: tuple[str, ...], options: Options, who: str) -> ApiResponse:
        if action == "show":
            return self._show(options, who)
        if action in CHANGES:
            return _ok(self._change(action, ids, options, who))
        handler = self._handlers.get(action)
        if handler is not None:
            return _ok(handler(options))
        return ApiResponse(HTTPStatus.NOT_FOUND, ErrorReply(f"no such action: {action}"))

    # --- orders --------------------------------------------------------------------------------------------

    def _change(self, action: str, ids: tuple[str, ...], options: Options, who: str) -> dict[str, Any]:
        match action:
            case "resend":
                confirmed = bool(options.get("partner_sure"))
                return {"asked": self._store.request_redrive(ids, who, confirmed)}
            case "discard":
                return {"discarded": self._store.discard(ids, who)}
            case "undo":
                return {"undone": self._store.undo(ids, who)}
            case _:
                return self._settle(options, who)

    def _settle(self, options: Options, who: str) -> dict[str, Any]:
        why = str(options.get("why") or "").strip()
        if not why:
            raise ReasonMissingError
        message = str(options["id"])
        statement = ManualSettlement(bool(options["delivered"]), who, why)
        self._store.settle(message, statement, self._now())
        return {"settled": message}

    # --- reads --------------------------------------------------------------------------------------------

    def _now(self) -> float:
        return latest_possible_time(self._fleet.clock(), self._store.recorded_clock())

    def _show(self, options: Options, who: str) -> ApiResponse:
        message = str(options["id"])
        found = self._store.complete_record(message)
        if found is None:
            return ApiResponse(HTTPStatus.NOT_FOUND, ErrorReply(f"no such message: {message}"))
        (row,) = self._list({"ids": [message]})["messages"]
        found |= {name: row[name] for name in JUDGEMENT}
        if options.get("body"):
            found["body"] = base64.b64encode(self._store.show_body(message, who) or b"").decode()
        return _ok(found)

    def _stats(self, _: Options) -> dict[str, Any]:
        rates = {str(destination): rate.reason for destination, rate in self._redriver.rates.items()}
        open_count = len(self._store.open_redrives())
        return {**self._store.stats(), "open": open_count, "paces": rates, **self._progress()}

    def _list(self, options: Options) -> dict[str, Any]:
        """Return a page of messages, each with its judgement; `next` begins the page after, null at the end."""
        chosen = {field: options[key] for key, field in FILTERS.items() if options.get(key) is not None}
        limit = min(int(options.get("limit", DEFAULT_PAGE)), MAX_PAGE)
        given_up_at, last_id = options.get("after") or START_POSITION
        after = Position(float(given_up_at), str(last_id))
        selected = Filter(tuple(options.get("ids", ())), **chosen)
        messages = self._store.select(selected, limit, after)
        now = self._now()
        destinations = {message.destination for message in messages}
        listed = {number: self._fleet.known_endpoints(number) for number in destinations}
        last = messages[-1] if len(messages) == limit else None
        return {
            "messages": [self._row(message, now, listed[message.destination]) for message in messages],
            "next": [last.given_up_at, last.id] if last is not None else None,
        }

    def _row(self, message: DeadLetter, now: float, listed: frozenset[str] | None) -> dict[str, Any]:
        settings = self._redriver.settings
        assessment = assess_redrive(message, now, listed, settings.clock_allowance_s)
        is_stored = message.status is Status.STORED
        return {
            "id": message.id,
            "stand": message.status.value,
            "kind": assessment.safety.value,
            "may_go": assessment.is_allowed,
            "why": assessment.reason,
            "wanted_by": requested_by(message, settings.rules, now) if is_stored else "",
            "destination": message.destination,
            "class": message.class_name,
            "account": message.account,
            "key": message.idempotency_key,
            "given_up_at": message.given_up_at,
            "resends": message.redrives,
            "ran_at": message.executed_at,
        }

    def _audit(self, options: Options) -> dict[str, Any]:
        return {"audit": self._store.audit(int(options.get("since", 0)))}

    def _check(self, _: Options) -> dict[str, Any]:
        return {"faults": self._store.check()}

    def _preview(self, options: Options) -> dict[str, Any]:
        """Return what the rules of another file would redrive now; nothing is sent."""
        settings = redrive_settings(Path(str(options["file"])))
        preview = preview_redrives(self._store, self._fleet, settings, self._now())
        return {"go": preview.redriven, "stay": preview.retained, "most_rate": settings.rate_limits.max_per_s}

    def _backup(self, options: Options) -> dict[str, Any]:
        file = str(options["file"])
        self._store.backup(Path(file))
        return {"file": file}


def _ok(body: Mapping[str, Any]) -> ApiResponse:
    return ApiResponse(HTTPStatus.OK, body)


def _ids(options: Options) -> tuple[str, ...]:
    ids = tuple(str(message) for message in options.get("ids", ()))
    if len(ids) > MAX_PAGE:
        raise PageSizeError(len(ids), MAX_PAGE)
    return ids
