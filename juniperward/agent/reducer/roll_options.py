"""What an order for a roll changes in the rules of the settings."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import fields, replace
from typing import Any

from juniperward.fleet.model import RollRules
from juniperward.fleet.roll_errors import RuleValueError, UnknownRuleError

DRY_RUN = "dry_run"
RESTART_ALL = "restart"  # all of these at once, whatever is left

_TYPES = {field.name: field.type for field in fields(RollRules)}


def roll_rules(base: RollRules, options: Mapping[str, Any], count: int) -> RollRules:
    """Return the settings' rules with what an order for `count` instances changes in them.

    Raises:
        UnknownRuleError: for a rule that does not exist.
        RuleValueError: for a value that does not fit it.

    """
    changes: dict[str, Any] = {}
    for name, value in options.items():
        if name == DRY_RUN or value is None:
            continue
        if name == RESTART_ALL:
            changes.update(at_once=count, floor=0)
        else:
            _check(name, value)
            changes[name] = value
    return replace(base, **changes)


def _check(name: str, value: Any) -> None:
    if name not in _TYPES:
        raise UnknownRuleError(name)
    is_flag = _TYPES[name] == "bool"
    if isinstance(value, bool) != is_flag or not isinstance(value, bool | int | float):
        raise RuleValueError(name, f"not a value for it: {value!r}")
    if value < 0:
        raise RuleValueError(name, "must not be negative")
