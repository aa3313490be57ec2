"""Stores the agent's state in a file with a checksum, and keeps the previous file in case the newest is damaged."""

from __future__ import annotations

import os
import zlib
from dataclasses import replace
from pathlib import Path

import msgspec

from juniperward.agent import state_codec
from juniperward.agent.processes import boot_id
from juniperward.agent.state import PersistentState
from juniperward.fleet.model import Crashes

FORMAT_VERSION = 1


class DamagedStateError(Exception):
    """A state file is damaged; the message says why."""


class StateVersionError(DamagedStateError):
    """The state file has another format version."""

    def __init__(self, version: int) -> None:
        """Build the message from the version in the file."""
        self.version = version
        super().__init__(f"unsupported format version {version}; this agent reads version {FORMAT_VERSION}")


class StateChecksumError(DamagedStateError):
    """The state file is incomplete or corrupt."""

    def __init__(self) -> None:
        """Build the message."""
        super().__init__("the checksum does not match")


class Header(msgspec.Struct, frozen=True):
    """The first line of a state file: format version, CRC-32 of the rest, and the boot id at the time of writing."""

    v: int
    crc: int
    boot: str


class StateStore:
    """Reads and writes `state.json` and `state.json.old` in the agent's folder."""

    def __init__(self, folder: Path) -> None:
        """Set the paths of the files, without access to them."""
        self.file, self.previous_file = folder / "state.json", folder / "state.json.old"
        self.temporary_file = folder / "state.json.new"

    def save(self, state: PersistentState) -> None:
        """Write the state and sync it to disk.

        Raises OSError; a failed write of the file leaves the previous state in place.
        """
        body = state_codec.encode(state)
        head = msgspec.json.encode(Header(FORMAT_VERSION, zlib.crc32(body), boot_id()))
        with self.temporary_file.open("wb") as file:
            file.write(head + b"\n" + body)
            file.flush()
            os.fsync(file.fileno())
        if self.file.exists():
            self.file.replace(self.previous_file)
        self.temporary_file.replace(self.file)
        folder = os.open(self.file.parent, os.O_RDONLY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)

    def load(self) -> tuple[PersistentState, list[str]]:
        """Return the newest undamaged state, or an empty one, and the problems of damaged files."""
        problems: list[str] = []
        for file in (self.file, self.previous_file):
            try:
                return self._read(file), problems
            except FileNotFoundError:
                continue
            except DamagedStateError as error:
                problems.append(f"{file.name}: {error}")
        return PersistentState(), problems

    @staticmethod
    def _read(file: Path) -> PersistentState:
        head, _, body = file.read_bytes().partition(b"\n")
        try:
            header = msgspec.json.decode(head, type=Header)
            _check(header, body)
            state = state_codec.decode(body)
        except msgspec.DecodeError as error:
            raise DamagedStateError(str(error)) from error
        return state if header.boot == boot_id() else _after_reboot(state)


def _check(header: Header, body: bytes) -> None:
    if header.v != FORMAT_VERSION:
        raise StateVersionError(header.v)
    if zlib.crc32(body) != header.crc:
        raise StateChecksumError


def _after_reboot(state: PersistentState) -> PersistentState:
    """Return the state without processes and monotonic times, which are invalid after a reboot."""
    instances = tuple(
        replace(
            instance, process=None, started_at=0.0, was_ready=False, stopping_since=None, crashes=Crashes()
        )
        for instance in state.instances
    )
    roll = state.roll
    if roll is not None:
        steps = tuple(replace(step, stage_since=0.0) for step in roll.steps)
        roll = replace(roll, steps=steps, made_at=0.0, blocked_since=None)
    return replace(state, instances=instances, roll=roll)
