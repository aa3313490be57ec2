"""Serves the simulator on standard input and output; the exit code is 1 after malformed input."""

from __future__ import annotations

import sys

from juniperward.simulator_adapter.adapter import serve
from juniperward.simulator_adapter.errors import WireError


def main() -> int:
    """Serve until the input ends, or end with one plain line on standard error."""
    try:
        serve(sys.stdin, sys.stdout)
    except WireError as error:
        print(f"simulator adapter: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
