"""Runs a forwarder and prints how long each part of its start took.

Run by `starts` as `python -m juniperward.benchmarks.start_parts SPAWNED_AT`, the time by the monotonic clock at which
the parent started the process. Prints one line: a JSON object with [wall seconds, CPU seconds] for each part, in
order. The forwarder then runs until a signal ends it. Only `time` is imported before the first timestamp, because
the other imports are a part of their own.
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
