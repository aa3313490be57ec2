"""Plays each recorded exchange of tests/exchanges against a forwarder process."""

from __future__ import annotations

import os
import re
import signal
import tempfile
import time
from pathlib import Path

import pytest

from juniperward.forwarder.state_folder import lock_folder
from tests.player import WAIT_S, Program, play
from tests.resources import UsesResources

FILES = sorted((Path(__file__).parent / "exchanges").glob("*.txt"))


class TestExchanges(UsesResources):
    def test_the_recorded_exchanges_are_found(self) -> None:
        assert len(FILES) > 10

    def test_sigterm_during_startup_shuts_down_cleanly(self) -> None:
        # A cancelled roll stops instances that are still starting: these must neither crash nor miss the signal.
        with tempfile.TemporaryDirectory() as folder:
            program = self.resources.closing(Program(Path(folder)))
            lock = lock_folder(program.state)
            process = program.spawn()
            until = time.monotonic() + WAIT_S
            blocked = 0
            while (
                not blocked >> (signal.SIGTERM - 1) & 1
            ):  # blocked just before the process waits for the lock
                assert time.monotonic() < until
                status = Path(f"/proc/{process.pid}/status").read_text()
                (found,) = re.findall(r"^SigBlk:\s*(\w+)$", status, re.M)
                blocked = int(found, 16)
            process.send_signal(signal.SIGTERM)
            os.close(lock)
            assert process.wait(WAIT_S) == 0
            assert process.stderr is not None
            assert b"stop: ended" in process.stderr.read()


@pytest.mark.parametrize("path", FILES, ids=lambda path: path.stem)
def test_the_forwarder_behaves_as_recorded(path: Path) -> None:
    play(path)
