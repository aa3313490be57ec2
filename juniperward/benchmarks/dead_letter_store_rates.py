"""Measures the rates of the dead-letter store's operations with a million messages in it.

`juniperward measure dead-letter-store` calls `store`.
"""

from __future__ import annotations

import tempfile
import time
from collections.abc import Callable
from pathlib import Path

from juniperward.benchmarks.report import Report, Row
from juniperward.dead_letters.dead_letter import Status
from juniperward.dead_letters.selection import START_POSITION, Filter, Position, SpoolPosition
from juniperward.dead_letters.spool_format import SpooledAttempt, SpooledMessage
from juniperward.dead_letters.store import DeadLetterStore
from juniperward.scheduler.settings import Idempotency

TRANSACTION_MESSAGES = 1000
PAGE_MESSAGES = 500
MAX_SEARCH_RESULTS = 100
ATTEMPT = (SpooledAttempt("s-1", 1.0, "full", False),)


def store(seed: int, out: Path, rounds: int = 1_000_000) -> bool:
    """Measure the store with `rounds` messages in it, and write store.md to `out`; always returns True."""
    report = Report("The dead-letter store", f"juniperward measure dead-letter-store --rounds {rounds}", seed)
    with tempfile.TemporaryDirectory(prefix="jw-") as folder:
        rates = _StoreRates(Path(folder), rounds)
        try:
            rates.measure()
            size_mib = rates.size_mib()
        finally:
            rates.close()
    report.add_paragraph(
        f"The store with {rounds:,} messages of 200 bytes and one attempt ({size_mib:.0f} MiB):"
    )
    report.add_table(["what", "a second", "ms each"], rates.rows)
    report.write(out / "store.md")
    return True


class _StoreRates:
    """A store in a new folder; `rows` has a table row for each measured operation."""

    def __init__(self, folder: Path, count: int) -> None:
        self.rows: list[Row] = []
        self._folder = folder
        self._count = count
        self._file = folder / "kept.db"
        self._store = DeadLetterStore(self._file)

    def measure(self) -> None:
        """Fill the store, and measure each operation."""
        self._fill()
        self._list_all()
        self._search()
        self._change()
        self._maintain()

    def size_mib(self) -> float:
        """Return the size of the store's file in MiB."""
        return self._file.stat().st_size / 2**20

    def close(self) -> None:
        """Close the store."""
        self._store.close()

    def _fill(self) -> None:
        began = time.monotonic()
        for first in range(0, self._count, TRANSACTION_MESSAGES):
            self._store.add("n0", _batch(first), SpoolPosition(1, first))
        self._add_row("taken in, 1,000 a transaction", self._count, time.monotonic() - began, 3)

    def _list_all(self) -> None:
        began = time.monotonic()
        listed = 0
        after = START_POSITION
        while page := self._store.select(Filter(status=Status.STORED), PAGE_MESSAGES, after):
            listed += len(page)
            after = Position(page[-1].given_up_at, page[-1].id)
        self._add_row("listed, pages of 500", listed, time.monotonic() - began, 3)

    def _search(self) -> None:
        key_step = self._count // 1000
        self._time_search("search by destination, 100 found", 500, lambda n: Filter(destination=n))
        self._time_search("search by account, 100 found", 40, lambda n: Filter(account=f"cluster-{n}"))
        self._time_search("search by key", 1000, lambda n: Filter(idempotency_key=f"k{n * key_step}"))
        self._time_search("search by class, 100 found", 7, lambda n: Filter(class_name=f"c{n}"))
        self._time_search("search for a class that is not there", 2, lambda n: Filter(class_name=f"none{n}"))
        self._time("all about one", 1000, lambda n: self._store.complete_record(f"m{n}"))

    def _change(self) -> None:
        self._time(
            "claim, each durable",
            1000,
            lambda n: self._store.acquire_lease(f"m{n}", None, "n0", 1.0, "rule"),
        )
        selections = [[f"m{5000 + n * 200 + k}" for k in range(200)] for n in range(20)]
        self._time(
            "wish for 200, one transaction",
            len(selections),
            lambda n: self._store.request_redrive(selections[n], "me"),
        )

    def _maintain(self) -> None:
        self._time("counts by stand", 3, lambda _: self._store.stats())
        self._time("integrity check", 1, lambda _: self._store.check())
        self._time("backup while in use", 1, lambda _: self._store.backup(self._folder / "copy.db"))

    def _time_search(self, name: str, times: int, make_filter: Callable[[int], Filter]) -> None:
        self._time(name, times, lambda n: self._store.select(make_filter(n), MAX_SEARCH_RESULTS))

    def _time(self, name: str, times: int, operation: Callable[[int], object]) -> None:
        """Call the operation with 0, 1, ... `times` - 1, and add a row with its rate and mean duration."""
        began = time.monotonic()
        for number in range(times):
            operation(number)
        self._add_row(name, times, time.monotonic() - began, 2)

    def _add_row(self, name: str, times: int, spent_s: float, digits: int) -> None:
        each_ms = 1000 * spent_s / max(times, 1)
        self.rows.append([name, f"{times / spent_s:,.0f}", f"{each_ms:.{digits}f}"])


def _batch(first: int) -> list[SpooledMessage]:
    """Return the messages of one transaction, numbered from `first`."""
    return [_message(number) for number in range(first, first + TRANSACTION_MESSAGES)]


def _message(number: int) -> SpooledMessage:
    return SpooledMessage(
        f"m{number}",
        f"c{number % 7}",
        f"cluster-{number % 40}",
        number % 500,
        f"k{number}",
        b"x" * 200,
        float(number),
        float(number),
        ATTEMPT,
        Idempotency.IDEMPOTENCY_KEY,
        12.0,
        (),
    )
