"""The keys of a fleet's rules, by the fields of the classes that hold the rules.

The same keys are used in the settings file (`checker`, `load`), in the agent's API (`agent.reducer.roll_options`) and
in the agent's state file (`agent.state_codec`).
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


def settings_key(rules_class: type, field: str) -> str:
    """Return the key of a field; it is the name of the field unless KEYS has another."""
    return KEYS.get(rules_class, {}).get(field, field)


def field_values(rules_class: type, values: Mapping[str, Any]) -> dict[str, Any]:
    """Return the values of keys as values of the fields of `rules_class`."""
    fields = {key: field for field, key in KEYS[rules_class].items()}
    return {fields[key]: value for key, value in values.items()}
