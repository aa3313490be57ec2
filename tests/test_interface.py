"""Settings that make no sense are turned down with the field's name."""

from __future__ import annotations

from typing import Any

import pytest

from juniperward.scheduler.interface import MessageClass
from tests.helpers import settings


@pytest.mark.parametrize(
    "field", ["slots", "max_open", "instances", "max_attempts", "cold_share", "key_rest"]
)
def test_negative_settings_are_named(field: str) -> None:
    with pytest.raises(ValueError, match=field):
        settings(**{field: -1})


@pytest.mark.parametrize(
    ("field", "value"), [("aim", 0.0), ("window", -1.0), ("effect", "keyed"), ("worth", "x")]
)
def test_class_fields_are_named(field: str, value: Any) -> None:
    with pytest.raises(ValueError, match=field):
        MessageClass(**{"aim": 1.0, "deadline": 2.0, field: value})


def test_no_class_is_turned_down() -> None:
    with pytest.raises(ValueError, match="classes"):
        settings(classes=())
