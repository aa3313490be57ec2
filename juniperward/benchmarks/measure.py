"""The measurements of fleets that are too long for CI; `juniperward measure` runs them and writes them down.

Each compares within one run: the same load without and with what is measured. Results are tables in Markdown for
docs/measurements/.
"""

from __future__ import annotations

from juniperward.benchmarks.chaos import chaos
from juniperward.benchmarks.fleet_status import status
from juniperward.benchmarks.flood import flood
from juniperward.benchmarks.rolls import rolls

__all__ = ["chaos", "flood", "rolls", "status"]
