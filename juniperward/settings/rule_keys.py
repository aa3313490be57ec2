"""The keys of a fleet's rules: the one place that maps the words of the settings file to the classes' fields.

The same words name a rule in the agent's API (`agent.reducer.roll_options`) and in its state file
(`agent.state_codec`). Used by `checker` and `load`, and by these two.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from juniperward.fleet.model import RestartPolicy, RollRules, Timeouts

KEYS: Mapping[type, Mapping[str, str]] = {
    RestartPolicy: {
        "first_delay_s": "first",
        "max_delay_s": "most",
        "jitter": "jitter",
        "stable_after_s": "steady",
        "crash_limit": "crashes",
        "crash_window_s": "span",
    },
    Timeouts: {
        "unresponsive_s": "silent",
        "start_s": "start",
        "stop_s": "stop",
    },
    RollRules: {
        "batch_size": "at_once",
        "min_ready": "floor",
        "drain_timeout_s": "drain",
        "soak_s": "soak",
        "max_soak_s": "soak_most",
        "min_attempts": "least_calls",
        "instance_success_factor": "soak_share",
        "fleet_success_factor": "fall",
        "success_window_s": "window",
        "blocked_timeout_s": "patience",
        "kill": "kill",
    },
}


def key_of(kind: type, field: str) -> str:
    """Return the key of a class's field; a class that is not listed has the keys as its fields' names."""
    return KEYS.get(kind, {}).get(field, field)


def field_values(kind: type, values: Mapping[str, Any]) -> dict[str, Any]:
    """Return values that are given by key by the fields' names of `kind`."""
    fields = {key: field for field, key in KEYS[kind].items()}
    return {fields[key]: value for key, value in values.items()}
