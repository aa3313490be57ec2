"""Runs one forwarder and prints what each part of its start took.

Started as `python -m juniperward.benchmarks.start_parts SPAWNED`.

SPAWNED is when the parent began to start it, by the monotonic clock. The one line on standard output is a JSON object
of [wall seconds, CPU seconds] a part, in order; the forwarder then goes on until a signal ends it.
"""

from __future__ import annotations

import time

BEGUN = time.monotonic()
BEGUN_CPU = time.process_time()

import json  # noqa: E402
import sys  # noqa: E402
from collections.abc import Callable  # noqa: E402
from typing import Any  # noqa: E402


class Parts:
    """Splits the time since the start at marks."""

    def __init__(self, spawned: float) -> None:
        """Count the interpreter's own start since `spawned`, by the monotonic clock."""
        self.parts: dict[str, tuple[float, float]] = {"interpreter": (BEGUN - spawned, BEGUN_CPU)}
        self.wall, self.cpu = BEGUN, BEGUN_CPU

    def mark(self, name: str) -> None:
        """All since the mark before is this part's."""
        wall, cpu = time.monotonic(), time.process_time()
        self.parts[name] = (wall - self.wall, cpu - self.cpu)
        self.wall, self.cpu = wall, cpu

    def marked(self, function: Callable[..., Any], before: str, name: str) -> Callable[..., Any]:
        """The function, with a mark before it and one after it."""

        def call(*arguments: Any) -> Any:
            self.mark(before)
            result = function(*arguments)
            self.mark(name)
            return result

        return call


def main() -> int:
    """The forwarder's exit code."""
    parts = Parts(float(sys.argv[1]))
    from juniperward.forwarder import assembly, config, journal, start
    from juniperward.forwarder.server import Server

    parts.mark("imports")
    # What `start` calls is replaced by the same with marks; setattr, as these are names of other modules.
    setattr(start, "load", parts.marked(config.load, "signals", "configuration"))  # noqa: B010
    setattr(assembly, "Journal", parts.marked(journal.Journal, "folder", "journal read"))  # noqa: B010
    serve = parts.marked(Server.start, "messages restored", "listening")

    def serve_and_print(server: Server) -> None:
        serve(server)
        print(json.dumps(parts.parts), flush=True)

    setattr(Server, "start", serve_and_print)  # noqa: B010
    return start.main()


if __name__ == "__main__":
    sys.exit(main())
