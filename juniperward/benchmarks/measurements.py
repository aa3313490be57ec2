"""The measurements of `juniperward measure`, by name.

Each writes a report in Markdown to a folder (by default docs/measurements/) and returns whether it passed. They take
too long for CI.
"""

from __future__ import annotations

from collections.abc import Callable

from juniperward.benchmarks import (
    agreement,
    answer_soak,
    capacity,
    chaos,
    cost,
    dead_letter_acceptance,
    dead_letter_cost,
    dead_letter_store_rates,
    fleet_status,
    flood,
    memory_soak,
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
    "memory-soak": memory_soak.memory_soak,
    "answer-soak": answer_soak.answer_soak,
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
# Deprecated names, which are accepted for one release and not listed.
FORMER_NAMES = {
    "kept": "dead-letters",
    "keeping": "dead-letter-cost",
    "store": "dead-letter-store",
    "cold": "slow-start",
}
