"""Encodes the agent's state as JSON and decodes it.

The keys of the state file must not change. `STORED_NAMES` maps the fields of a class to keys where they differ.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import fields, is_dataclass
from functools import cache
from typing import Any, get_args, get_type_hints

import msgspec

from juniperward.agent.state import PersistentState
from juniperward.fleet.model import Crashes, Instance, RollRules
from juniperward.fleet.roll_model import Roll, RollStep
from juniperward.settings.rule_keys import KEYS

STORED_NAMES: Mapping[type, Mapping[str, str]] = {
    PersistentState: {"rolls_made": "rolls", "configuration_version": "edition"},
    Instance: {
        "desired_state": "wanted",
        "configuration_version": "edition",
        "drain_requested": "drain",
        "kill_sent": "killed",
        "last_exit": "exit",
    },
    Crashes: {"consecutive": "in_row", "crash_loop": "failed"},
    Roll: {
        "target_version": "target",
        "reason": "why",
        "baseline_success_rate": "baseline",
        "blocked_since": "stuck_since",
    },
    RollRules: KEYS[RollRules],
    RollStep: {"previous_version": "before", "stage_since": "since", "detail": "note"},
}


def encode(state: PersistentState) -> bytes:
    """Return a state as JSON."""
    return msgspec.json.encode(_to_stored(state))


def decode(body: bytes) -> PersistentState:
    """Return the state from JSON; raises msgspec.DecodeError if the JSON is not a valid state."""
    return msgspec.convert(_from_stored(msgspec.json.decode(body), PersistentState), PersistentState)


def _to_stored(value: Any) -> Any:
    """Return a value with dataclasses as dicts with the file's keys, in the order of the fields."""
    if isinstance(value, tuple):
        return [_to_stored(item) for item in value]
    if not is_dataclass(value):
        return value
    names = STORED_NAMES.get(type(value), {})
    return {
        names.get(field.name, field.name): _to_stored(getattr(value, field.name)) for field in fields(value)
    }


def _from_stored(value: Any, kind: type) -> Any:
    """Return decoded JSON with the file's keys replaced by the field names of `kind`."""
    if isinstance(value, list):
        return [_from_stored(item, kind) for item in value]
    if not isinstance(value, dict):
        return value
    names = STORED_NAMES.get(kind, {})
    nested = _nested_classes(kind)
    found = {}
    for field in fields(kind):
        key = names.get(field.name, field.name)
        if key not in value:
            continue
        inner = nested.get(field.name)
        found[field.name] = value[key] if inner is None else _from_stored(value[key], inner)
    return found


@cache
def _nested_classes(kind: type) -> dict[str, type]:
    """Return the dataclass of each field that contains one, directly or as items of a tuple."""
    found = {}
    for name, hint in get_type_hints(kind).items():
        for candidate in (hint, *get_args(hint)):
            if isinstance(candidate, type) and is_dataclass(candidate):
                found[name] = candidate
    return found
