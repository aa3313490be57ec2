"""Applies the options of a roll request to the roll rules of the settings.

An option has the same key as its rule in the settings file (`settings.rule_keys`).
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import fields, replace
from typing import Any

from juniperward.fleet.model import RollRules
from juniperward.fleet.roll_errors import RuleValueError, UnknownRuleError
from juniperward.settings.rule_keys import KEYS

DRY_RUN = "dry_run"
# Restarts all requested instances at once, even if no other one is ready.
RESTART_ALL = "restart"

_FIELD_OF_KEY = {key: field for field, key in KEYS[RollRules].items()}
_TYPE_OF_FIELD = {field.name: field.type for field in fields(RollRules)}


def roll_rules(base: RollRules, options: Mapping[str, Any], count: int) -> RollRules:
    """Return `base` with the options of a request for `count` instances applied.

    Raises:
        UnknownRuleError: If an option names no rule.
        RuleValueError: If the value of an option is of the wrong type or negative.

    """
    changes: dict[str, Any] = {}
    for key, value in options.items():
        if key == DRY_RUN or value is None:
            continue
        if key == RESTART_ALL:
            changes.update(batch_size=count, min_ready=0)
        else:
            changes[_checked_field(key, value)] = value
    return replace(base, **changes)


def _checked_field(key: str, value: Any) -> str:
    """Return the field of RollRules for a key, after a check of the value."""
    field = _FIELD_OF_KEY.get(key)
    if field is None:
        raise UnknownRuleError(key)
    is_flag = _TYPE_OF_FIELD[field] == "bool"
    if isinstance(value, bool) != is_flag or not isinstance(value, bool | int | float):
        expected = "true or false" if is_flag else "a number"
        raise RuleValueError(key, f"must be {expected}, not {value!r}")
    if value < 0:
        raise RuleValueError(key, "must not be negative")
    return field
