"""The agent's state as JSON: the one place that maps the words of the state file to the classes' fields.

`encode` and `decode` are called by the store. The file's words are those of its first version and stay; a class
whose fields have other names is listed in `STORED_NAMES`, field to word.
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
    """Return the state that JSON holds; raises msgspec.DecodeError where it is none."""
    return msgspec.convert(_from_stored(msgspec.json.decode(body), PersistentState), PersistentState)


def _to_stored(value: Any) -> Any:
    """Return a value with its dataclasses as objects in the file's words, in the order of their fields."""
    if isinstance(value, tuple):
        return [_to_stored(item) for item in value]
    if not is_dataclass(value):
        return value
    names = STORED_NAMES.get(type(value), {})
    return {
        names.get(field.name, field.name): _to_stored(getattr(value, field.name)) for field in fields(value)
    }


def _from_stored(value: Any, kind: type) -> Any:
    """Return decoded JSON with the fields' names of `kind` in place of the file's words."""
    if isinstance(value, list):
        return [_from_stored(item, kind) for item in value]
    if not isinstance(value, dict):
        return value
    names = STORED_NAMES.get(kind, {})
    nested = _nested_classes(kind)
    found = {}
    for field in fields(kind):
        word = names.get(field.name, field.name)
        if word not in value:
            continue
        inner = nested.get(field.name)
        found[field.name] = value[word] if inner is None else _from_stored(value[word], inner)
    return found


@cache
def _nested_classes(kind: type) -> dict[str, type]:
    """Return the dataclass of each field that holds one, or a tuple of them."""
    found = {}
    for name, hint in get_type_hints(kind).items():
        for candidate in (hint, *get_args(hint)):
            if isinstance(candidate, type) and is_dataclass(candidate):
                found[name] = candidate
    return found
