"""`python -m juniperward`: runs a forwarder if there are no arguments, else the command line tool.

The forwarder imports the standard library only.
"""

from __future__ import annotations

import sys


def main() -> int:
    """Run the forwarder or the command line tool, and return its exit code."""
    if len(sys.argv) == 1:
        from juniperward.forwarder.start import main as forward

        return forward()
    from juniperward.cli.main import main as tool

    return tool()


if __name__ == "__main__":
    sys.exit(main())
