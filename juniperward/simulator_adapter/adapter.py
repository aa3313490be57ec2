"""Connects schedulers to the simulator, which runs any number of forwarder instances in one process.

`serve` answers each batch with one reply, which it flushes. It raises WireError after malformed input,
without answering any part of that batch.
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
    """Passes the events of a batch to the scheduler of each instance, and returns their actions."""

    def __init__(self) -> None:
        """Create an adapter without instances."""
        self._schedulers: dict[str, DeliveryScheduler] = {}  # by name of the instance
        self._catalogs: Catalogs = {}

    def answer(self, batch: Batch) -> list[Fields]:
        """Return the answers to a batch, ordered by the first event of each instance."""
        answers: list[Fields] = []
        events_by_instance: dict[str, list[Event]] = {}
        for line in batch.lines:
            answers += self._read_line(line, events_by_instance)
        for instance, events in events_by_instance.items():
            answers += self._handle(instance, batch.time_ms * S_PER_MS, events)
        return answers

    def _read_line(self, line: Line, events_by_instance: dict[str, list[Event]]) -> list[Fields]:
        """Apply a line, or add its event to those of its instance; return its immediate answers."""
        fields = line.fields
        match line.name:
            case "Catalog":
                self._catalogs[fields["Slot"]] = decode_catalog(fields)
            case "Exit":
                self._schedulers.pop(fields["Who"], None)
                events_by_instance.pop(fields["Who"], None)
            case "Configure":
                return self._configure(fields, events_by_instance)
            case name:
                event = decode_event(name, fields, self._catalogs)
                if event is not None and fields["Who"] in self._schedulers:
                    events_by_instance.setdefault(fields["Who"], []).append(event)
        return []

    def _configure(self, fields: Fields, events_by_instance: dict[str, list[Event]]) -> list[Fields]:
        """Start an instance; return a `Die` answer with the reason if its settings are invalid."""
        instance = fields["Who"]
        events_by_instance[instance] = []
        try:
            self._schedulers[instance] = DeliveryScheduler(read_settings(fields["Config"]), fields["Entropy"])
        except (ValueError, KeyError) as error:
            del events_by_instance[instance]
            return [_encode_die(instance, f"settings: {error}")]
        return []

    def _handle(self, instance: str, now: float, events: list[Event]) -> list[Fields]:
        """Run a round of an instance; return its actions, or a `Die` answer with the error that it raised."""
        try:
            actions = self._schedulers[instance].handle(now, events)
        except Exception as error:
            reason = f"{type(error).__name__}: {error} (line {_source_line(error)})"
            return [_encode_die(instance, reason)]
        return [encode_action(instance, action) for action in actions]


def serve(source: TextIO, sink: TextIO) -> None:
    """Answer batches until the input ends; raises WireError after malformed input."""
    adapter = SimulatorAdapter()
    reader = BatchReader()
    for line_number, text in enumerate(source, 1):
        if not text.strip():
            continue
        try:
            batch = reader.add(text)
            if batch is not None:
                _reply(sink, [*adapter.answer(batch), {"Eor": {"turn": batch.turn}}])
        except (WireError, ValueError, KeyError, TypeError) as error:
            raise BadLineError(line_number, error) from error
    if reader.inside_batch:
        raise TruncatedBatchError


def _reply(sink: TextIO, answers: list[Fields]) -> None:
    sink.write("".join(json.dumps(answer, separators=(",", ":")) + "\n" for answer in answers))
    sink.flush()


def _encode_die(instance: str, reason: str) -> Fields:
    return {"Die": {"Who": instance, "NoteText": reason}}


def _source_line(error: Exception) -> int:
    """Return the number of the source line that raised an error, 0 if it has no traceback."""
    traceback = error.__traceback__
    while traceback is not None and traceback.tb_next is not None:
        traceback = traceback.tb_next
    return traceback.tb_lineno if traceback else 0
