"""The options of a request for a roll: what they change in the rules of the settings.

An option has the key of its rule in the settings file (`settings.rule_keys`). Called by `requests`.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import fields, replace
from typing import Any

from juniperward.fleet.model import RollRules
from juniperward.fleet.roll_errors import RuleValueError, UnknownRuleError
from juniperward.settings.rule_keys import KEYS

DRY_RUN = "dry_run"
RESTART_ALL = "restart"  # all of these at once, whatever is left

_FIELD_OF_KEY = {key: field for field, key in KEYS[RollRules].items()}
_TYPE_OF_FIELD = {field.name: field.type for field in fields(RollRules)}


def roll_rules(base: RollRules, options: Mapping[str, Any], count: int) -> RollRules:
    """Return the settings' rules with what a request for `count` instances changes in them.

    Raises:
        UnknownRuleError: for a rule that does not exist.
        RuleValueError: for a value that does not fit it.

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
    """Return the field that a key stands for, where the value fits it."""
    field = _FIELD_OF_KEY.get(key)
    if field is None:
        raise UnknownRuleError(key)
    is_flag = _TYPE_OF_FIELD[field] == "bool"
    if isinstance(value, bool) != is_flag or not isinstance(value, bool | int | float):
        raise RuleValueError(key, f"not a value for it: {value!r}")
    if value < 0:
        raise RuleValueError(key, "must not be negative")
    return field
