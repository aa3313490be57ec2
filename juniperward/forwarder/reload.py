"""A new configuration for a running forwarder: the file is read again, and what can change now does.

Only `discovery` takes effect at once, and over `ROUTER_DISCOVERY`; all other keys do at the next start.
A file that cannot be used changes nothing.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import fields

from juniperward.forwarder.config import Config, ConfigError, load
from juniperward.forwarder.events import DiscoveryAddressChanged
from juniperward.forwarder.telemetry import increment, log

AT_ONCE = {"registry", "known", "seed"}  # the last two are of the moment of a start


class Reloader:
    """What the process was started with, and the configuration in force."""

    def __init__(self, config: Config, environment: Mapping[str, str]) -> None:
        """Begin with the configuration of the start."""
        self.config, self.registry = config, config.registry
        self.environment = {name: text for name, text in environment.items() if name != "ROUTER_DISCOVERY"}

    def again(self) -> DiscoveryAddressChanged | None:
        """Read the file; the registry's address where it is another one than before."""
        increment("reloads")
        try:
            new = load(self.environment)
        except ConfigError as error:
            increment("reloads_rejected")
            log("reload", "configuration rejected", error=error)
            return None
        later = [
            f.name for f in fields(Config)
            if f.name not in AT_ONCE and getattr(new, f.name) != getattr(self.config, f.name)
        ]  # fmt: skip
        if later:
            log("reload", "restart needed", keys=",".join(later))
        if new.registry == self.registry:
            log("reload", "nothing changed")
            return None
        self.registry = new.registry
        log("reload", "discovery changed", address=f"{new.registry[0]}:{new.registry[1]}")
        return DiscoveryAddressChanged(new.registry)
