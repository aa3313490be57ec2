"""All long measurements of fleets by name, as `juniperward measure` knows them.

They are too long for CI. Each compares within one run, the same load without and with what is measured; writes a
page of tables in Markdown under the folder that it is given (docs/measurements/); and returns whether every rule
held.
"""

from __future__ import annotations

from collections.abc import Callable

from juniperward.benchmarks import (
    agreement,
    capacity,
    chaos,
    cost,
    fleet_status,
    flood,
    measure_dead_letters,
    rolls,
    sizes,
    slow_start,
    starts,
)

MEASUREMENTS: dict[str, Callable[..., bool]] = {
    "rolls": rolls.rolls,
    "chaos": chaos.chaos,
    "status": fleet_status.status,
    "flood": flood.flood,
    "starts": starts.starts,
    "dead-letters": measure_dead_letters.acceptance,
    "dead-letter-cost": measure_dead_letters.storage_cost,
    "dead-letter-store": measure_dead_letters.store,
    "capacity": capacity.capacity,
    "agreement": agreement.agreement,
    "cost": cost.cost,
    "sizes": sizes.sizes,
    "slow-start": slow_start.slow_start,
}
# The names of before, read for one release and not listed.
FORMER_NAMES = {
    "kept": "dead-letters",
    "keeping": "dead-letter-cost",
    "store": "dead-letter-store",
    "cold": "slow-start",
}
