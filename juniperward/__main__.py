"""`python -m juniperward`: without arguments one forwarder, of the standard library alone; else the tool."""

from __future__ import annotations

import sys


def main() -> int:
    """The exit code of what was asked for."""
    if len(sys.argv) == 1:
        from juniperward.forwarder.start import main as forward

        return forward()
    from juniperward.cli.main import main as tool

    return tool()


if __name__ == "__main__":
    sys.exit(main())
