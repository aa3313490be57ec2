"""Reloads the configuration of a running forwarder at SIGHUP.

`start.py` calls `Reloader.reload` and posts the event that it returns. Only `discovery` takes effect at once, and
then overrides `ROUTER_DISCOVERY`; all other keys take effect at the next start. An invalid file changes nothing.
"""

from __future__ import annotations

from collections.abc import Mapping

from juniperward.forwarder.address import format_address
from juniperward.forwarder.config import Config, ConfigError, changed_keys, load
from juniperward.forwarder.events import DiscoveryAddressChanged
from juniperward.forwarder.telemetry import increment, log

# No restart is suggested for a change of these keys: `discovery` takes effect at once, and the others have an effect
# only on the start of a process.
NO_RESTART_KEYS = {"discovery", "known", "seed"}


class Reloader:
    """Compares a reloaded file with the configuration of the start and with discovery's current address."""

    def __init__(self, config: Config, environment: Mapping[str, str]) -> None:
        """Start from the configuration and the environment that the process started with."""
        self._config = config
        self._discovery = config.discovery
        self._environment = {name: text for name, text in environment.items() if name != "ROUTER_DISCOVERY"}

    def reload(self) -> DiscoveryAddressChanged | None:
        """Read the file; return an event if discovery's address changed, else None."""
        increment("reloads")
        try:
            new = load(self._environment)
        except ConfigError as error:
            increment("reloads_rejected")
            log("reload", "configuration rejected; present one stays in use", error=error)
            return None
        restart_keys = [key for key in changed_keys(self._config, new) if key not in NO_RESTART_KEYS]
        if restart_keys:
            log("reload", "restart needed for changed keys", keys=",".join(restart_keys))
        if new.discovery == self._discovery:
            log("reload", "discovery address unchanged")
            return None
        self._discovery = new.discovery
        log("reload", "discovery address changed", address=format_address(new.discovery))
        return DiscoveryAddressChanged(new.discovery)
