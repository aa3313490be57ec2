"""Storage of results in an experiment's folder.

`results.jsonl` gets each result as soon as its run ends, `results.parquet` all results at the end.

A line of `results.jsonl` is a checksum and a row of JSON (`result.to_row`). A line that was cut off by a
crash is removed when the file is opened, and its run is repeated.
"""

from __future__ import annotations

import fcntl
import json
import os
import zlib
from collections.abc import Iterable
from pathlib import Path
from typing import Any, BinaryIO, Self

import pyarrow
from pyarrow import parquet

from juniperward.simulation.result import VERSION, Result, RunKey, from_row, to_row

LINES_FILE = "results.jsonl"
PARQUET_FILE = "results.parquet"


class ResultVersionError(ValueError):
    """The results were written by a newer version."""

    def __init__(self, file: Path, version: int) -> None:
        """Describe the file and its version in the message."""
        super().__init__(f"{file}: written by version {version}; the latest supported version is {VERSION}")
        self.file = file
        self.version = version


class ExperimentRunningError(Exception):
    """Another experiment holds the lock of the folder."""

    def __init__(self, folder: Path) -> None:
        """Describe the folder in the message."""
        super().__init__(f"{folder}: another experiment is writing to this folder")
        self.folder = folder


class ResultStore:
    """The results in an experiment's folder, locked for one writer; a context manager."""

    def __init__(self, folder: Path) -> None:
        """Create and lock the folder, and read the stored results.

        Raises:
            ExperimentRunningError: another experiment holds the lock.
            OSError: the folder or the file cannot be created or read.

        """
        folder.mkdir(parents=True, exist_ok=True)
        self._folder = folder
        self._file = (folder / LINES_FILE).open("a+b")
        try:
            fcntl.flock(self._file, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            self._file.close()
            raise ExperimentRunningError(folder) from None
        self.results: dict[RunKey, Result] = _read_lines(self._file)

    def __enter__(self) -> Self:
        """Return this store."""
        return self

    def __exit__(self, *_: object) -> None:
        """Close the store."""
        self.close()

    def add(self, result: Result) -> None:
        """Append a result and sync it to disk; raises OSError."""
        text = json.dumps(to_row(result)).encode()
        self._file.write(b"%08x %s\n" % (zlib.crc32(text), text))
        self._file.flush()
        os.fsync(self._file.fileno())
        self.results[result.key] = result

    def write_parquet(self) -> None:
        """Write all results to the Parquet file; raises OSError."""
        write_parquet(self._folder / PARQUET_FILE, self.results.values())

    def close(self) -> None:
        """Close the file, which unlocks the folder."""
        self._file.close()


def _read_lines(file: BinaryIO) -> dict[RunKey, Result]:
    """Return the results up to the first invalid line, and truncate the file there."""
    results: dict[RunKey, Result] = {}
    valid_bytes = 0
    file.seek(0)
    for line in file:
        result = _decode_line(line)
        if result is None:
            break
        results[result.key] = result
        valid_bytes += len(line)
    file.truncate(valid_bytes)
    file.seek(valid_bytes)
    return results


def _decode_line(line: bytes) -> Result | None:
    """Return the result of a line, or None if the line is invalid or of a newer version."""
    try:
        checksum, text = line.rstrip(b"\n").split(b" ", 1)
        if not line.endswith(b"\n") or int(checksum, 16) != zlib.crc32(text):
            return None
        row: dict[str, Any] = json.loads(text)
        return from_row(row) if row["v"] <= VERSION else None
    except (ValueError, TypeError, KeyError):
        return None


def write_parquet(file: Path, results: Iterable[Result]) -> None:
    """Replace the Parquet file atomically by a table of these results; raises OSError."""
    rows = [to_row(result) for result in results]
    for row in rows:
        row["lost"] = [{"why": reason, "share": lost} for reason, lost in row["lost"].items()]
    temporary_file = file.with_suffix(".new")
    parquet.write_table(pyarrow.Table.from_pylist(rows), temporary_file, compression="zstd")
    temporary_file.replace(file)


def read_parquet(file: Path) -> list[Result]:
    """Return the results in a Parquet file of this or an earlier version.

    Raises:
        OSError: the file cannot be read.
        ResultVersionError: a newer version wrote the file.

    """
    results = []
    for row in parquet.read_table(file).to_pylist():
        if row["v"] > VERSION:
            raise ResultVersionError(file, row["v"])
        row["lost"] = {loss["why"]: loss["share"] for loss in row["lost"]}
        results.append(from_row(row))
    return results
