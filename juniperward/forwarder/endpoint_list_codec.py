"""The codec of discovery's endpoint list: decodes one JSON object as a typed update.

The objects come from the watch (`discovery_watch.py`) and from the configuration (`config.py`). The wire names of an
entry's fields and states appear in this module only.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Any

from juniperward.forwarder.address import parse_address
from juniperward.forwarder.model import Endpoint
from juniperward.forwarder.settings_names import SettingsNames
from juniperward.forwarder.telemetry import increment, log
from juniperward.scheduler.events import EndpointPhase

PHASES_BY_STATE = {
    "Ready": EndpointPhase.READY,
    "Terminating": EndpointPhase.DRAINING,
    "Gone": EndpointPhase.REMOVED,
}
# The rate of an endpoint whose entry has none.
UNLISTED_RATE = 0.0


@dataclass(frozen=True, slots=True)
class EndpointListUpdate:
    """A version of the endpoint list: all endpoints if `full`, else only those that changed."""

    version: int
    full: bool
    endpoints: tuple[Endpoint, ...]


def read_endpoint_list_update(value: Any, names: SettingsNames) -> EndpointListUpdate:
    """Decode one update; an entry that cannot be read is counted, logged and skipped.

    Raises:
        KeyError, ValueError, TypeError, AttributeError: where the object itself is not an update of the list.

    """
    endpoints = []
    for entry in value["servers"]:
        try:
            endpoints.append(_read_endpoint(entry, names))
        except (KeyError, ValueError, TypeError, AttributeError) as error:
            # Discovery sends the entry again with each watch, so raising here would reject every later update too.
            increment("endpoint_entries_unreadable")
            log("discovery", "entry unreadable; skipped", type=type(error).__name__, error=error)
    return EndpointListUpdate(int(value["version"]), bool(value["full"]), tuple(endpoints))


def _read_endpoint(entry: Any, names: SettingsNames) -> Endpoint:
    host, port = parse_address(entry["addr"])
    return Endpoint(
        id=str(entry["id"]),
        host=host,
        port=port,
        destination=int(entry["cell"]),
        phase=PHASES_BY_STATE[entry["state"]],
        kind=_position(entry.get("kind"), names.kinds),
        zone=_position(entry.get("zone"), names.zones),
        listed_rate_per_s=_read_rate(entry.get("weight")),
    )


def _position(name: Any, names: tuple[str, ...]) -> int:
    """Return the position of a name; 0 for a name that is not in the settings."""
    return names.index(name) if name in names else 0


def _read_rate(value: Any) -> float:
    """Return a listed rate; an invalid one is counted and treated as unlisted, and the endpoint is kept."""
    if value is None:
        return UNLISTED_RATE
    try:
        rate = float(value)
    except (ValueError, TypeError, OverflowError):
        rate = math.nan
    if 0 <= rate < math.inf:
        return rate
    increment("listed_rates_invalid")
    return UNLISTED_RATE
