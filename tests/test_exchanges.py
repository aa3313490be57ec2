"""Every recorded exchange in tests/exchanges, played against the program."""

from __future__ import annotations

import os
import re
import signal
import tempfile
import time
import unittest
from pathlib import Path

from juniperward.forwarder.state_folder import lock_folder
from tests.player import WAIT, Program, play

FILES = sorted((Path(__file__).parent / "exchanges").glob("*.txt"))


class Exchanges(unittest.TestCase):
    def test_there_are_exchanges(self) -> None:
        self.assertGreater(len(FILES), 10)

    def test_a_sigterm_before_it_serves_ends_it_as_one_after_it(self) -> None:
        # Guards a roll that is called back: it must not be a crash, nor a process that never heard of it.
        with tempfile.TemporaryDirectory() as folder:
            program = Program(Path(folder))
            self.addCleanup(program.close)
            lock = lock_folder(program.state)
            process = program.spawn()
            until = time.monotonic() + WAIT
            blocked = 0
            while not blocked >> (signal.SIGTERM - 1) & 1:  # it waits for the folder now, or is about to
                self.assertLess(time.monotonic(), until)
                status = Path(f"/proc/{process.pid}/status").read_text()
                (found,) = re.findall(r"^SigBlk:\s*(\w+)$", status, re.M)
                blocked = int(found, 16)
            process.send_signal(signal.SIGTERM)
            os.close(lock)
            self.assertEqual(process.wait(WAIT), 0)
            assert process.stderr is not None
            self.assertIn(b"stop: ended", process.stderr.read())


def _add(path: Path) -> None:
    def test(self: Exchanges) -> None:
        play(path)

    setattr(Exchanges, "test_" + path.stem, test)


for _path in FILES:
    _add(_path)
