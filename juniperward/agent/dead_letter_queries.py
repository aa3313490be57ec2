"""Handlers of the requests about dead letters, by action; called by `dead_letter_service`.

The actions are list, show, resend, settle, discard, undo, stats, audit, simulate, check, backup.
"""

from __future__ import annotations

import base64
from collections.abc import Callable, Mapping
from http import HTTPStatus
from pathlib import Path
from typing import Any

from juniperward.agent.dead_letter_errors import InvalidRequestError, ReasonMissingError, TooManyIdsError
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
CHANGE_ACTIONS = frozenset({"resend", "settle", "discard", "undo"})
# Options of the action `list`, and the fields of `Filter` that they set.
FILTER_FIELDS = {
    "stand": "status",
    "destination": "destination",
    "cls": "class_name",
    "account": "account",
    "key": "idempotency_key",
    "since": "since",
    "until": "until",
    "wished": "redrive_requested",
}
ASSESSMENT_KEYS = ("kind", "may_go", "why", "wanted_by")

Options = dict[str, Any]


class DeadLetterQueries:
    """Answers requests from the dead-letter store and the redriver's rules; may be called by any thread."""

    def __init__(
        self,
        store: DeadLetterStore,
        fleet: RunningFleet,
        redriver: Redriver,
        progress: Callable[[], dict[str, Any]],
    ) -> None:
        """Set the sources of answers; `progress` returns what `stats` reports about the redriver's thread."""
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

    def answer(self, options: Options, user: str) -> ApiResponse:
        """Return the response to one request; `user` is the name of the client's user, for the audit trail."""
        try:
            return self._answer(str(options.get("action", "")), _ids(options), options, user)
        except InvalidRequestError as error:
            return ApiResponse(HTTPStatus.BAD_REQUEST, ErrorReply(f"ValueError: {error}"))
        except (TypeError, ValueError, KeyError) as error:
            return ApiResponse(HTTPStatus.BAD_REQUEST, ErrorReply(f"{type(error).__name__}: {error}"))
        except LeaseLostError as error:
            return ApiResponse(HTTPStatus.CONFLICT, ErrorReply(str(error)))

    def _answer(self, action: str, ids: tuple[str, ...], options: Options, user: str) -> ApiResponse:
        if action == "show":
            return self._show(options, user)
        if action in CHANGE_ACTIONS:
            return _ok(self._change(action, ids, options, user))
        handler = self._handlers.get(action)
        if handler is not None:
            return _ok(handler(options))
        return ApiResponse(HTTPStatus.NOT_FOUND, ErrorReply(f"no such action: {action}"))

    # --- changes -------------------------------------------------------------------------------------------

    def _change(self, action: str, ids: tuple[str, ...], options: Options, user: str) -> dict[str, Any]:
        match action:
            case "resend":
                confirmed = bool(options.get("partner_sure"))
                return {"asked": self._store.request_redrive(ids, user, confirmed)}
            case "discard":
                return {"discarded": self._store.discard(ids, user)}
            case "undo":
                return {"undone": self._store.undo(ids, user)}
            case _:
                return self._settle(options, user)

    def _settle(self, options: Options, user: str) -> dict[str, Any]:
        why = str(options.get("why") or "").strip()
        if not why:
            raise ReasonMissingError
        message_id = str(options["id"])
        statement = ManualSettlement(bool(options["delivered"]), user, why)
        self._store.settle(message_id, statement, self._now())
        return {"settled": message_id}

    # --- reads --------------------------------------------------------------------------------------------

    def _now(self) -> float:
        return latest_possible_time(self._fleet.clock(), self._store.recorded_clock())

    def _show(self, options: Options, user: str) -> ApiResponse:
        message_id = str(options["id"])
        record = self._store.complete_record(message_id)
        if record is None:
            return ApiResponse(HTTPStatus.NOT_FOUND, ErrorReply(f"no such message: {message_id}"))
        (row,) = self._list({"ids": [message_id]})["messages"]
        record |= {name: row[name] for name in ASSESSMENT_KEYS}
        if options.get("body"):
            record["body"] = base64.b64encode(self._store.show_body(message_id, user) or b"").decode()
        return _ok(record)

    def _stats(self, _: Options) -> dict[str, Any]:
        rates = {str(destination): rate.reason for destination, rate in self._redriver.rates.items()}
        open_count = len(self._store.open_redrives())
        return {**self._store.stats(), "open": open_count, "paces": rates, **self._progress()}

    def _list(self, options: Options) -> dict[str, Any]:
        """Return a page of messages, each with whether it may be redriven.

        `next` is the value of `after` for the next page; None on the last page.
        """
        filters = {
            field: options[key] for key, field in FILTER_FIELDS.items() if options.get(key) is not None
        }
        limit = min(int(options.get("limit", DEFAULT_PAGE)), MAX_PAGE)
        given_up_at, last_id = options.get("after") or START_POSITION
        after = Position(float(given_up_at), str(last_id))
        selected = Filter(tuple(options.get("ids", ())), **filters)
        messages = self._store.select(selected, limit, after)
        now = self._now()
        destinations = {message.destination for message in messages}
        endpoints = {number: self._fleet.known_endpoints(number) for number in destinations}
        last = messages[-1] if len(messages) == limit else None
        return {
            "messages": [self._row(message, now, endpoints[message.destination]) for message in messages],
            "next": [last.given_up_at, last.id] if last is not None else None,
        }

    def _row(self, message: DeadLetter, now: float, endpoints: frozenset[str] | None) -> dict[str, Any]:
        settings = self._redriver.settings
        assessment = assess_redrive(message, now, endpoints, settings.clock_allowance_s)
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
        """Return what the rules of another settings file would redrive now; nothing is sent."""
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
    ids = tuple(str(message_id) for message_id in options.get("ids", ()))
    if len(ids) > MAX_PAGE:
        raise TooManyIdsError(len(ids), MAX_PAGE)
    return ids
