"""Times the parts of a forwarder's start, by replacing functions that it calls with wrappers that take the time."""

from __future__ import annotations

import json
import sys
import time
from collections.abc import Callable
from typing import NamedTuple, ParamSpec, TypeVar

Parameters = ParamSpec("Parameters")
Result = TypeVar("Result")


class PartTime(NamedTuple):
    """The wall-clock and CPU seconds that a part of the start took."""

    wall_s: float
    cpu_s: float


class StartMarks:
    """Divides the time since a process was started into parts; `parts` has the times of each, in order."""

    def __init__(self, spawned_at: float, began_at: float, began_cpu_s: float) -> None:
        """Record the interpreter's own start: from `spawned_at` to `began_at`, by the monotonic clock."""
        self.parts: dict[str, PartTime] = {"interpreter": PartTime(began_at - spawned_at, began_cpu_s)}
        self._marked_at, self._marked_cpu_s = began_at, began_cpu_s

    def mark(self, part: str) -> None:
        """End a part: record the time since the previous mark under its name."""
        at, cpu_s = time.monotonic(), time.process_time()
        self.parts[part] = PartTime(at - self._marked_at, cpu_s - self._marked_cpu_s)
        self._marked_at, self._marked_cpu_s = at, cpu_s

    def marked(
        self, function: Callable[Parameters, Result], before: str, part: str
    ) -> Callable[Parameters, Result]:
        """Wrap a function: a call ends the part `before`, and its return ends the part `part`."""

        def call_and_mark(*arguments: Parameters.args, **options: Parameters.kwargs) -> Result:
            """Call the function, with a mark before and after the call."""
            self.mark(before)
            result = function(*arguments, **options)
            self.mark(part)
            return result

        return call_and_mark


def run_marked(began_at: float, began_cpu_s: float) -> int:
    """Run a forwarder, print the times of its start as JSON once it listens, and return its exit code."""
    marks = StartMarks(float(sys.argv[1]), began_at, began_cpu_s)
    from juniperward.forwarder import assembly, config, journal, start
    from juniperward.forwarder.server import Server

    marks.mark("imports")
    serve = marks.marked(Server.start, "messages restored", "listening")

    def serve_and_print(server: Server) -> None:
        """Start the server, and print the times once it listens."""
        serve(server)
        print(json.dumps(marks.parts), flush=True)

    _replace(start, "load", marks.marked(config.load, "signals", "configuration"))
    _replace(assembly, "Journal", marks.marked(journal.Journal, "folder", "journal read"))
    _replace(Server, "start", serve_and_print)
    return start.main()


def _replace(owner: object, name: str, function: Callable[..., object]) -> None:
    """Replace an attribute of a module or class; raises AttributeError if it does not exist."""
    getattr(owner, name)
    setattr(owner, name, function)
