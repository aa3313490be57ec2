"""The codec of discovery's endpoint list: one JSON object of it to a typed update.

The objects come over the watch (`discovery_watch.py`) and in the configuration (`config.py`). The platform's words
for an entry's fields and states are here alone.
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

PHASES = {
    "Ready": EndpointPhase.READY,
    "Terminating": EndpointPhase.DRAINING,
    "Gone": EndpointPhase.REMOVED,
}
NO_RATE = 0.0  # of an endpoint that is listed without a rate


@dataclass(frozen=True, slots=True)
class EndpointListUpdate:
    """A version of the endpoint list: all of its endpoints where `full`, else those that changed."""

    version: int
    full: bool
    endpoints: tuple[Endpoint, ...]


def read_endpoint_list_update(value: Any, names: SettingsNames) -> EndpointListUpdate:
    """Decode one object of the list; an entry that cannot be read is counted, logged and left out.

    Raises:
        KeyError, ValueError, TypeError, AttributeError: where the object itself is not a list of endpoints.

    """
    endpoints = []
    for entry in value["servers"]:
        try:
            endpoints.append(_read_endpoint(entry, names))
        except (KeyError, ValueError, TypeError, AttributeError) as error:
            # The same entry comes again with every watch: an error here would reject each later update, too.
            increment("endpoint_entries_unreadable")
            log("discovery", "entry unreadable", type=type(error).__name__, error=error)
    return EndpointListUpdate(int(value["version"]), bool(value["full"]), tuple(endpoints))


def _read_endpoint(entry: Any, names: SettingsNames) -> Endpoint:
    host, port = parse_address(entry["addr"])
    return Endpoint(
        id=str(entry["id"]),
        host=host,
        port=port,
        destination=int(entry["cell"]),
        phase=PHASES[entry["state"]],
        kind=_position(entry.get("kind"), names.kinds),
        zone=_position(entry.get("zone"), names.zones),
        listed_rate_per_s=_read_rate(entry.get("weight")),
    )


def _position(name: Any, names: tuple[str, ...]) -> int:
    """Return a name's position; 0 for a name that the settings do not have."""
    return names.index(name) if name in names else 0


def _read_rate(value: Any) -> float:
    """Return a listed rate; one that is not a finite rate counts as not listed and does not cost the endpoint."""
    if value is None:
        return NO_RATE
    try:
        rate = float(value)
    except (ValueError, TypeError, OverflowError):
        rate = math.nan
    if 0 <= rate < math.inf:
        return rate
    increment("listed_rates_invalid")
    return NO_RATE
