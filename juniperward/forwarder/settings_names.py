"""The names that the settings give to classes, tenants, endpoint kinds and zones.

The settings list them; clients and discovery use the names, everything inside a forwarder their positions. Read by
`config.py`, used by the codecs of messages and of the endpoint list.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

MS_PER_S = 1000


@dataclass(frozen=True, slots=True)
class SettingsNames:
    """Names by position; `deadlines_s` has the longest deadline of each class."""

    classes: tuple[str, ...]
    deadlines_s: tuple[float, ...]
    tenants: tuple[str, ...]
    kinds: tuple[str, ...]
    zones: tuple[str, ...]


def read_settings_names(settings: Any) -> SettingsNames:
    """Return the names of the settings' JSON object; raises KeyError, TypeError or ValueError."""
    services = settings["Services"]
    return SettingsNames(
        classes=tuple(service["Name"] for service in services),
        deadlines_s=tuple(float(service["DeadlineMs"]) / MS_PER_S for service in services),
        tenants=tuple(tenant["Name"] for tenant in settings.get("Tenants") or ()),
        kinds=tuple(settings.get("Kinds") or ()),
        zones=tuple(settings.get("FailureDomains") or ()),
    )
