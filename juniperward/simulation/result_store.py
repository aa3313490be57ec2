"""The folder of an experiment: results as they end in `results.jsonl`, all of them in `results.parquet`.

A line of `results.jsonl` is a checksum and a row of JSON (`result.to_row`); a line torn by a kill is dropped, and its
run is repeated. Called by `experiment.sweep` and the command line.
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
    """A newer version wrote the results."""

    def __init__(self, file: Path, version: int) -> None:
        """Name the file and its version."""
        super().__init__(f"{file}: written by version {version}; this one reads up to {VERSION}")
        self.file = file
        self.version = version


class ExperimentRunningError(Exception):
    """Another experiment writes to this folder."""

    def __init__(self, folder: Path) -> None:
        """Name the folder."""
        super().__init__(f"{folder}: another experiment writes there")
        self.folder = folder


class ResultStore:
    """The results in an experiment's folder; one writer at a time. A context manager."""

    def __init__(self, folder: Path) -> None:
        """Lock the folder and read what is there; raises ExperimentRunningError or OSError."""
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
        """Return the open store."""
        return self

    def __exit__(self, *_: object) -> None:
        """Close it."""
        self.close()

    def add(self, result: Result) -> None:
        """Append a result, and have it on disk at the return; raises OSError."""
        text = json.dumps(to_row(result)).encode()
        self._file.write(b"%08x %s\n" % (zlib.crc32(text), text))
        self._file.flush()
        os.fsync(self._file.fileno())
        self.results[result.key] = result

    def write_parquet(self) -> None:
        """Write all results as one table beside the lines; raises OSError."""
        write_parquet(self._folder / PARQUET_FILE, self.results.values())

    def close(self) -> None:
        """Unlock the folder."""
        self._file.close()


def _read_lines(file: BinaryIO) -> dict[RunKey, Result]:
    """Return the results up to the first line that is not sound, and cut the file off there."""
    results: dict[RunKey, Result] = {}
    sound_bytes = 0
    file.seek(0)
    for line in file:
        result = _decode_line(line)
        if result is None:
            break
        results[result.key] = result
        sound_bytes += len(line)
    file.truncate(sound_bytes)
    file.seek(sound_bytes)
    return results


def _decode_line(line: bytes) -> Result | None:
    """Return the result of a line; None for one that is torn or of a newer version."""
    try:
        checksum, text = line.rstrip(b"\n").split(b" ", 1)
        if not line.endswith(b"\n") or int(checksum, 16) != zlib.crc32(text):
            return None
        row: dict[str, Any] = json.loads(text)
        return from_row(row) if row["v"] <= VERSION else None
    except (ValueError, TypeError, KeyError):
        return None


def write_parquet(file: Path, results: Iterable[Result]) -> None:
    """Replace the file by a table of these results; raises OSError."""
    rows = [to_row(result) for result in results]
    for row in rows:
        row["lost"] = [{"why": reason, "share": lost} for reason, lost in row["lost"].items()]
    fresh = file.with_suffix(".new")
    parquet.write_table(pyarrow.Table.from_pylist(rows), fresh, compression="zstd")
    fresh.replace(file)


def read_parquet(file: Path) -> list[Result]:
    """Return the results of a table, of this version or an older one; raises OSError or ResultVersionError."""
    results = []
    for row in parquet.read_table(file).to_pylist():
        if row["v"] > VERSION:
            raise ResultVersionError(file, row["v"])
        row["lost"] = {loss["why"]: loss["share"] for loss in row["lost"]}
        results.append(from_row(row))
    return results
