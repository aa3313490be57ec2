"""Settings that make no sense are turned down with the field's name."""

from __future__ import annotations

from typing import Any

import pytest

from juniperward.scheduler.settings import MessageClass
from tests.helpers import settings


@pytest.mark.parametrize(
    "field",
    ["slots", "max_open", "instances", "max_attempts", "slow_start_capacity_fraction", "key_cooldown_s"],
)
def test_negative_settings_are_named(field: str) -> None:
    with pytest.raises(ValueError, match=field):
        settings(**{field: -1})


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("latency_objective_s", 0.0),
        ("deduplication_window_s", -1.0),
        ("idempotency", "keyed"),
        ("priority_weight", "x"),
    ],
)
def test_class_fields_are_named(field: str, value: Any) -> None:
    with pytest.raises(ValueError, match=field):
        MessageClass(**{"latency_objective_s": 1.0, "deadline_s": 2.0, field: value})


def test_an_empty_list_of_classes_is_rejected() -> None:
    with pytest.raises(ValueError, match="classes"):
        settings(classes=())
