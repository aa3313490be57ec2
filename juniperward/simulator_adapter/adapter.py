"""Hosts any number of schedulers behind the simulator's wire; it decides nothing.

`serve` answers each batch with one flushed reply and returns at the end of the input. Malformed input raises
WireError, with nothing of the batch answered.
"""

from __future__ import annotations

import json
from typing import TextIO

from juniperward.scheduler import DeliveryScheduler
from juniperward.scheduler.events import Event
from juniperward.scheduler.settings_codec import S_PER_MS, read_settings
from juniperward.simulator_adapter.batch_reader import Batch, BatchReader, Line
from juniperward.simulator_adapter.errors import BadLineError, TruncatedBatchError, WireError
from juniperward.simulator_adapter.wire import Catalogs, Fields, decode_catalog, decode_event, encode_action


class SimulatorAdapter:
    """Converts batches of lines into answers, an instance of the forwarder at a time."""

    def __init__(self) -> None:
        """Begin without instances."""
        self._schedulers: dict[str, DeliveryScheduler] = {}  # by instance
        self._catalogs: Catalogs = {}

    def answer(self, batch: Batch) -> list[Fields]:
        """Return the answers to one batch, in the order of first mention of each instance."""
        answers: list[Fields] = []
        pending: dict[str, list[Event]] = {}  # by instance
        for line in batch.lines:
            answers += self._read_line(line, pending)
        for instance, events in pending.items():
            answers += self._handle(instance, batch.time_ms * S_PER_MS, events)
        return answers

    def _read_line(self, line: Line, pending: dict[str, list[Event]]) -> list[Fields]:
        """Apply a line, or add its event to those pending; returns what it is answered at once."""
        fields = line.fields
        match line.name:
            case "Catalog":
                self._catalogs[fields["Slot"]] = decode_catalog(fields)
            case "Exit":
                self._schedulers.pop(fields["Who"], None)
                pending.pop(fields["Who"], None)
            case "Configure":
                return self._configure(fields, pending)
            case name:
                event = decode_event(name, fields, self._catalogs)
                if event is not None and fields["Who"] in self._schedulers:
                    pending.setdefault(fields["Who"], []).append(event)
        return []

    def _configure(self, fields: Fields, pending: dict[str, list[Event]]) -> list[Fields]:
        """Start an instance; returns the answer that ends it where its settings cannot be used."""
        instance = fields["Who"]
        pending[instance] = []
        try:
            self._schedulers[instance] = DeliveryScheduler(read_settings(fields["Config"]), fields["Entropy"])
        except (ValueError, KeyError) as error:
            del pending[instance]
            return [_die(instance, f"settings: {error}")]
        return []

    def _handle(self, instance: str, now: float, events: list[Event]) -> list[Fields]:
        """Run a round; an error in it ends the simulated day with its reason."""
        try:
            actions = self._schedulers[instance].handle(now, events)
        except Exception as error:
            return [_die(instance, f"{type(error).__name__}: {error} (line {_line_number(error)})")]
        return [encode_action(instance, action) for action in actions]


def serve(source: TextIO, sink: TextIO) -> None:
    """Answer batches until the input ends; raises WireError."""
    adapter = SimulatorAdapter()
    reader = BatchReader()
    for number, text in enumerate(source, 1):
        if not text.strip():
            continue
        try:
            batch = reader.add(text)
            if batch is not None:
                _reply(sink, [*adapter.answer(batch), {"Eor": {"turn": batch.turn}}])
        except (WireError, ValueError, KeyError, TypeError) as error:
            raise BadLineError(number, error) from error
    if reader.inside_batch:
        raise TruncatedBatchError


def _reply(sink: TextIO, answers: list[Fields]) -> None:
    sink.write("".join(json.dumps(answer, separators=(",", ":")) + "\n" for answer in answers))
    sink.flush()


def _die(instance: str, reason: str) -> Fields:
    return {"Die": {"Who": instance, "NoteText": reason}}


def _line_number(error: Exception) -> int:
    """Return the line of code at which an error was raised."""
    traceback = error.__traceback__
    while traceback is not None and traceback.tb_next is not None:
        traceback = traceback.tb_next
    return traceback.tb_lineno if traceback else 0
