"""All long measurements by name, as `juniperward measure` knows them."""

from __future__ import annotations

from collections.abc import Callable

from juniperward.benchmarks import agreement, capacity, cold, cost, measure, measure_kept, sizes, starts

ALL: dict[str, Callable[..., bool]] = {
    "rolls": measure.rolls, "chaos": measure.chaos, "status": measure.status, "flood": measure.flood,
    "starts": starts.starts, "kept": measure_kept.acceptance, "keeping": measure_kept.keeping,
    "store": measure_kept.store, "capacity": capacity.capacity,
    "agreement": agreement.agreement, "cost": cost.cost, "sizes": sizes.sizes,
    "cold": cold.cold,
}  # fmt: skip
