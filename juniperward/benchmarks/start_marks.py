"""Marks the parts of a forwarder's start: what `start` calls is replaced by the same with a mark on either side."""

from __future__ import annotations

import json
import sys
import time
from collections.abc import Callable
from typing import NamedTuple, ParamSpec, TypeVar

Parameters = ParamSpec("Parameters")
Result = TypeVar("Result")


class PartTime(NamedTuple):
    """What a part took, in seconds."""

    wall_s: float
    cpu_s: float


class StartMarks:
    """Splits the time since the process's start at marks; `parts` has what each took, in order."""

    def __init__(self, spawned_at: float, began_at: float, began_cpu_s: float) -> None:
        """Count the interpreter's own start from `spawned_at` to `began_at`, by the monotonic clock."""
        self.parts: dict[str, PartTime] = {"interpreter": PartTime(began_at - spawned_at, began_cpu_s)}
        self._marked_at, self._marked_cpu_s = began_at, began_cpu_s

    def mark(self, part: str) -> None:
        """Count all since the mark before as this part's."""
        at, cpu_s = time.monotonic(), time.process_time()
        self.parts[part] = PartTime(at - self._marked_at, cpu_s - self._marked_cpu_s)
        self._marked_at, self._marked_cpu_s = at, cpu_s

    def marked(
        self, function: Callable[Parameters, Result], before: str, part: str
    ) -> Callable[Parameters, Result]:
        """Return the function with a mark before it, of the part that ends there, and one after it."""

        def call(*arguments: Parameters.args, **options: Parameters.kwargs) -> Result:
            self.mark(before)
            result = function(*arguments, **options)
            self.mark(part)
            return result

        return call


def run_marked(began_at: float, began_cpu_s: float) -> int:
    """Run a forwarder with its start marked, print the parts once it listens, and return its exit code."""
    marks = StartMarks(float(sys.argv[1]), began_at, began_cpu_s)
    from juniperward.forwarder import assembly, config, journal, start
    from juniperward.forwarder.server import Server

    marks.mark("imports")
    serve = marks.marked(Server.start, "messages restored", "listening")

    def serve_and_print(server: Server) -> None:
        serve(server)
        print(json.dumps(marks.parts), flush=True)

    _replace(start, "load", marks.marked(config.load, "signals", "configuration"))
    _replace(assembly, "Journal", marks.marked(journal.Journal, "folder", "journal read"))
    _replace(Server, "start", serve_and_print)
    return start.main()


def _replace(owner: object, name: str, function: Callable[..., object]) -> None:
    """Have a module or class call another function; raises AttributeError where it has none of that name."""
    getattr(owner, name)
    setattr(owner, name, function)
