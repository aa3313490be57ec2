"""The configuration of a running forwarder, read again at SIGHUP.

`start.py` calls `Reloader.reload` and passes on the event that it returns. Only `discovery` takes effect at once, and
then over `ROUTER_DISCOVERY`; all other keys do at the next start. A file that cannot be used changes nothing.
"""

from __future__ import annotations

from collections.abc import Mapping

from juniperward.forwarder.address import format_address
from juniperward.forwarder.config import Config, ConfigError, changed_keys, load
from juniperward.forwarder.events import DiscoveryAddressChanged
from juniperward.forwarder.telemetry import increment, log

# Keys that need no restart: `discovery` takes effect at once, the others matter at a start only.
NO_RESTART_KEYS = {"discovery", "known", "seed"}


class Reloader:
    """Compares the file with the configuration of the start, and with the address of discovery in use."""

    def __init__(self, config: Config, environment: Mapping[str, str]) -> None:
        """Begin with the configuration and the environment of the start."""
        self._config = config
        self._discovery = config.discovery
        self._environment = {name: text for name, text in environment.items() if name != "ROUTER_DISCOVERY"}

    def reload(self) -> DiscoveryAddressChanged | None:
        """Read the file; return an event where discovery's address is another one than before."""
        increment("reloads")
        try:
            new = load(self._environment)
        except ConfigError as error:
            increment("reloads_rejected")
            log("reload", "configuration rejected", error=error)
            return None
        restart_keys = [key for key in changed_keys(self._config, new) if key not in NO_RESTART_KEYS]
        if restart_keys:
            log("reload", "restart needed", keys=",".join(restart_keys))
        if new.discovery == self._discovery:
            log("reload", "nothing changed")
            return None
        self._discovery = new.discovery
        log("reload", "discovery changed", address=format_address(new.discovery))
        return DiscoveryAddressChanged(new.discovery)
