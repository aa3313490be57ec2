"""All long measurements by name, as `juniperward measure` knows them."""

from __future__ import annotations

from collections.abc import Callable

from juniperward.benchmarks import (
    agreement,
    capacity,
    cost,
    measure,
    measure_dead_letters,
    sizes,
    slow_start,
    starts,
)

ALL: dict[str, Callable[..., bool]] = {
    "rolls": measure.rolls, "chaos": measure.chaos, "status": measure.status, "flood": measure.flood,
    "starts": starts.starts, "dead-letters": measure_dead_letters.acceptance, "keeping": measure_dead_letters.keeping,
    "store": measure_dead_letters.store, "capacity": capacity.capacity,
    "agreement": agreement.agreement, "cost": cost.cost, "sizes": sizes.sizes,
    "slow-start": slow_start.slow_start,
}  # fmt: skip
# The names of before, read for one release and not listed.
FORMER_NAMES = {"kept": "dead-letters", "cold": "slow-start"}
