"""The agent's state on disk: two generations of one checked file, so that a torn one loses nothing older."""

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

VERSION = 1


class DamagedStateError(Exception):
    """A file is not a complete state of ours; the text says why."""


class StateVersionError(DamagedStateError):
    """The file was written by a version of the agent that writes it in another form."""

    def __init__(self, version: int) -> None:
        """Tell the form's version."""
        self.version = version
        super().__init__(f"version {version}; this agent reads {VERSION}")


class StateChecksumError(DamagedStateError):
    """The file was not written completely, or was changed."""

    def __init__(self) -> None:
        """Say so."""
        super().__init__("its checksum does not match")


class Header(msgspec.Struct, frozen=True):
    """The first line of the file."""

    v: int
    crc: int
    boot: str


class StateStore:
    """The files `state.json` and `state.json.old` in the agent's folder."""

    def __init__(self, folder: Path) -> None:
        """Name the files; nothing is read or written yet."""
        self.file, self.old = folder / "state.json", folder / "state.json.old"
        self.fresh = folder / "state.json.new"

    def save(self, state: PersistentState) -> None:
        """Write it so that it survives the machine; raises OSError, and then the file before still counts."""
        body = state_codec.encode(state)
        head = msgspec.json.encode(Header(VERSION, zlib.crc32(body), boot_id()))
        with self.fresh.open("wb") as file:
            file.write(head + b"\n" + body)
            file.flush()
            os.fsync(file.fileno())
        if self.file.exists():
            self.file.replace(self.old)
        self.fresh.replace(self.file)
        folder = os.open(self.file.parent, os.O_RDONLY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)

    def load(self) -> tuple[PersistentState, list[str]]:
        """The newest state that is complete, and what was wrong with others; an empty one where there is none."""
        problems: list[str] = []
        for file in (self.file, self.old):
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
    if header.v != VERSION:
        raise StateVersionError(header.v)
    if zlib.crc32(body) != header.crc:
        raise StateChecksumError


def _after_reboot(state: PersistentState) -> PersistentState:
    """Return the state without what means nothing on a machine started anew: its processes and its times."""
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
