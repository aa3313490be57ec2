"""The console script `juniperward`."""

from __future__ import annotations

import sys


def main() -> int:
    """The exit code of what was asked for."""
    print("juniperward: no sub-commands yet", file=sys.stderr)
    return 2
