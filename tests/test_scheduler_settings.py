"""Invalid settings are rejected with the name of the field."""

from __future__ import annotations

from typing import Any

import pytest

from juniperward.scheduler.settings import MessageClass
from tests.helpers import settings


@pytest.mark.parametrize(
    "field",
    ["slots", "max_open", "instances", "max_attempts", "slow_start_capacity_fraction", "key_cooldown_s"],
)
def test_the_error_for_a_negative_setting_names_the_field(field: str) -> None:
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
def test_the_error_for_an_invalid_message_class_names_the_field(field: str, value: Any) -> None:
    with pytest.raises(ValueError, match=field):
        MessageClass(**{"latency_objective_s": 1.0, "deadline_s": 2.0, field: value})


def test_an_empty_list_of_classes_is_rejected() -> None:
    with pytest.raises(ValueError, match="classes"):
        settings(classes=())
