"""Every recorded exchange in tests/exchanges, played against the program."""

from __future__ import annotations

import unittest
from pathlib import Path

from tests.player import play

FILES = sorted((Path(__file__).parent / "exchanges").glob("*.txt"))


class Exchanges(unittest.TestCase):
    def test_there_are_exchanges(self) -> None:
        self.assertGreater(len(FILES), 10)


def _add(path: Path) -> None:
    def test(self: Exchanges) -> None:
        play(path)

    setattr(Exchanges, "test_" + path.stem, test)


for _path in FILES:
    _add(_path)
