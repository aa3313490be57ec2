"""All long measurements of fleets by name, as `juniperward measure` knows them.

They are too long for CI. Each compares within one run, the same load without and with what is measured; writes a
page of tables in Markdown under the folder that it is given (docs/measurements/); and returns whether every rule
passed.
"""

from __future__ import annotations

from collections.abc import Callable

from juniperward.benchmarks import (
    agreement,
    capacity,
    chaos,
    cost,
    dead_letter_acceptance,
    dead_letter_cost,
    dead_letter_store_rates,
    fleet_status,
    flood,
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
    "dead-letters": dead_letter_acceptance.acceptance,
    "dead-letter-cost": dead_letter_cost.storage_cost,
    "dead-letter-store": dead_letter_store_rates.store,
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
