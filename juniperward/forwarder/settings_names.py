"""The names of message classes, tenants, endpoint kinds and zones in the settings.

Clients and discovery use the names; inside a forwarder, a position in these lists stands for each name. `config.py`
reads them, and the codecs of messages and of the endpoint list translate them.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

MS_PER_S = 1000


@dataclass(frozen=True, slots=True)
class SettingsNames:
    """The names by position; `deadlines_s` has the maximum deadline of each class."""

    classes: tuple[str, ...]
    deadlines_s: tuple[float, ...]
    tenants: tuple[str, ...]
    kinds: tuple[str, ...]
    zones: tuple[str, ...]


def read_settings_names(settings: Any) -> SettingsNames:
    """Return the names in the settings' JSON object; raises KeyError, TypeError or ValueError."""
    services = settings["Services"]
    return SettingsNames(
        classes=tuple(service["Name"] for service in services),
        deadlines_s=tuple(float(service["DeadlineMs"]) / MS_PER_S for service in services),
        tenants=tuple(tenant["Name"] for tenant in settings.get("Tenants") or ()),
        kinds=tuple(settings.get("Kinds") or ()),
        zones=tuple(settings.get("FailureDomains") or ()),
    )
