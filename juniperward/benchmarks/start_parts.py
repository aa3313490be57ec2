"""Runs one forwarder and prints what each part of its start took; `starts` runs it.

Started as `python -m juniperward.benchmarks.start_parts SPAWNED`. SPAWNED is when the parent began to start it, by
the monotonic clock. The one line on standard output is a JSON object of [wall seconds, CPU seconds] a part, in
order; the forwarder then goes on until a signal ends it. Nothing but `time` is imported before the first timestamp:
what is imported later counts as a part of its own.
"""

from __future__ import annotations

import time

BEGAN_AT = time.monotonic()
BEGAN_CPU_S = time.process_time()


def main() -> int:
    """Run the forwarder and return its exit code."""
    from juniperward.benchmarks.start_marks import run_marked

    return run_marked(BEGAN_AT, BEGAN_CPU_S)


if __name__ == "__main__":
    raise SystemExit(main())
