"""Hosts any number of schedulers behind the simulator's wire; it decides nothing.

`serve` answers each batch with one flushed reply and returns at the end of the input. Malformed input raises
WireError, with nothing of the batch answered.
"""

from __future__ import annotations

import json
from typing import TextIO

from juniperward.scheduler import DeliveryScheduler
from juniperward.scheduler.events import Event
from juniperward.scheduler.settings_codec import read_settings
from juniperward.simulator_adapter.wire import (
    S_PER_MS,
    BadLineError,
    Body,
    Catalogs,
    MisplacedLineError,
    NotAnObjectError,
    TruncatedBatchError,
    WireError,
    decode_catalog,
    decode_event,
    encode_action,
)

Line = tuple[str, Body]


class SimulatorAdapter:
    """Turns batches of events into answers, an instance of the forwarder at a time."""

    def __init__(self) -> None:
        """Begin without instances."""
        self.schedulers: dict[str, DeliveryScheduler] = {}
        self.catalogs: Catalogs = {}

    def answer(self, now_ms: float, lines: list[Line]) -> list[Body]:
        """Return the answers to one batch, in the order of first mention of each instance."""
        answers: list[Body] = []
        pending: dict[str, list[Event]] = {}
        for name, body in lines:
            match name:
                case "Catalog":
                    self.catalogs[body["Slot"]] = decode_catalog(body)
                case "Exit":
                    self.schedulers.pop(body["Who"], None)
                    pending.pop(body["Who"], None)
                case "Configure":
                    pending[body["Who"]] = []
                    if (refusal := self._configure(body)) is not None:
                        del pending[body["Who"]]
                        answers.append(refusal)
                case _:
                    event = decode_event(name, body, self.catalogs)
                    if event is not None and body["Who"] in self.schedulers:
                        pending.setdefault(body["Who"], []).append(event)
        for instance, events in pending.items():
            answers += self._handle(instance, now_ms * S_PER_MS, events)
        return answers

    def _configure(self, body: Body) -> Body | None:
        """Start an instance; returns the answer that ends it where its settings cannot be used."""
        instance = body["Who"]
        try:
            self.schedulers[instance] = DeliveryScheduler(read_settings(body["Config"]), body["Entropy"])
        except (ValueError, KeyError) as error:
            return _die(instance, f"settings: {error}")
        return None

    def _handle(self, instance: str, now: float, events: list[Event]) -> list[Body]:
        """Run a round; whatever fails in it ends the day with its reason."""
        try:
            actions = self.schedulers[instance].handle(now, events)
        except Exception as error:
            return [_die(instance, f"{type(error).__name__}: {error} (line {_line_of(error)})")]
        return [encode_action(instance, action) for action in actions]


def _die(instance: str, note: str) -> Body:
    return {"Die": {"Who": instance, "NoteText": note}}


def _line_of(error: Exception) -> int:
    """Return the line at which an error was raised."""
    place = error.__traceback__
    while place is not None and place.tb_next is not None:
        place = place.tb_next
    return place.tb_lineno if place else 0


class BatchReader:
    """Collects the lines of a batch, from its `Mark` to its `Go`."""

    def __init__(self) -> None:
        """Begin outside a batch."""
        self.mark: Body | None = None
        self.lines: list[Line] = []

    def take(self, text: str) -> Body | None:
        """Take in a line; returns the batch's `Mark` once the batch is whole; raises WireError."""
        name, body = _parse(text)
        if name == "Mark" and self.mark is not None:
            raise MisplacedLineError(name, inside_batch=True)
        if name == "Mark":
            self.mark, self.lines = body, []
        elif self.mark is None:
            raise MisplacedLineError(name, inside_batch=False)
        elif name == "Go":
            mark, self.mark = self.mark, None
            return mark
        else:
            self.lines.append((name, body))
        return None


def serve(source: TextIO, sink: TextIO) -> None:
    """Answer batches until the input ends; raises WireError."""
    adapter, reader = SimulatorAdapter(), BatchReader()
    for number, text in enumerate(source, 1):
        if not text.strip():
            continue
        try:
            mark = reader.take(text)
            if mark is not None:
                answers = adapter.answer(mark["TimeMs"], reader.lines)
                _reply(sink, [*answers, {"Eor": {"turn": mark["turn"]}}])
        except (WireError, ValueError, KeyError, TypeError) as error:
            raise BadLineError(number, error) from error
    if reader.mark is not None:
        raise TruncatedBatchError


def _parse(text: str) -> Line:
    message = json.loads(text)
    if not isinstance(message, dict) or len(message) != 1:
        raise NotAnObjectError
    ((name, body),) = message.items()
    if not isinstance(body, dict):
        raise NotAnObjectError
    return name, body


def _reply(sink: TextIO, answers: list[Body]) -> None:
    sink.write("".join(json.dumps(answer, separators=(",", ":")) + "\n" for answer in answers))
    sink.flush()
