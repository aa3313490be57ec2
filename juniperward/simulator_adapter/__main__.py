"""Command-line entry point: serves the simulator on standard input and output."""

from __future__ import annotations

import sys

from juniperward.simulator_adapter.adapter import serve
from juniperward.simulator_adapter.errors import WireError


def main() -> int:
    """Serve until the input ends; after malformed input print one line to standard error and return 1."""
    try:
        serve(sys.stdin, sys.stdout)
    except WireError as error:
        print(f"simulator adapter: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
