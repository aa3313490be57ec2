"""Checks the instances of a settings file, and creates the configuration of each forwarder."""

from __future__ import annotations

from collections.abc import Sequence
from pathlib import Path
from typing import Any

from juniperward.settings import fleet_pb2
from juniperward.settings.base_files import BaseFiles
from juniperward.settings.fault_collector import FaultCollector
from juniperward.settings.fleet_settings import InstanceSettings
from juniperward.settings.value_checks import check_address, check_name, check_socket_path

MAX_INSTANCES = 4096
DEFAULT_SPOOL_BYTES = 50_000_000
UNIQUE_FIELDS = ("name", "listen", "state")
EMPTY_ENDPOINT_LIST = {"version": 0, "full": True, "servers": []}


class InstanceChecker:
    """Checks the instances of one settings file."""

    def __init__(
        self,
        message: fleet_pb2.Fleet,
        settings_folder: Path,
        folder: Path,
        bases: BaseFiles,
        faults: FaultCollector,
    ) -> None:
        """Prepare to check a file.

        Args:
            message: The parsed file.
            settings_folder: The folder of the file.
            folder: The agent's folder.
            bases: Reads the base files.
            faults: Collects the faults.

        """
        self._message, self._settings_folder, self._folder = message, settings_folder, folder
        self._bases, self._faults = bases, faults

    def instances(self) -> tuple[InstanceSettings, ...]:
        """Return the settings of the instances, and record their faults."""
        given = self._message.instance
        if not given:
            self._faults.add("instance", "a fleet needs at least one instance")
        if len(given) > MAX_INSTANCES:
            why = f"an agent runs at most {MAX_INSTANCES} instances, not {len(given)}"
            self._faults.add("instance", why)
        instances = tuple(self._instance(number, instance) for number, instance in enumerate(given))
        for field in UNIQUE_FIELDS:
            self._check_unique(field, [getattr(instance, field) for instance in instances])
        return instances

    def _instance(self, number: int, given: Any) -> InstanceSettings:
        place = f"instance[{number}]"
        check_name(self._faults, f"{place}.name", given.name)
        check_address(self._faults, f"{place}.listen", given.listen)
        registry = given.registry or self._message.registry
        check_address(self._faults, f"{place}.registry", registry)
        state = self._settings_folder / given.state if given.state else self._folder / "state" / given.name
        control = self._folder / "run" / given.name
        check_socket_path(self._faults, f"{place}.name", control)
        base_field = f"{place}.base" if given.base else "base"
        config = {
            **self._bases.read(given.base or self._message.base, base_field),
            "name": given.name,
            "listen": given.listen,
            "discovery": registry,
            "state": str(state),
            "control": str(control),
            **self._spool(given.name),
        }
        # The endpoint list that the forwarder uses until discovery sends one.
        config.setdefault("known", dict(EMPTY_ENDPOINT_LIST))
        return InstanceSettings(given.name, given.listen, state, control, given.stopped, config)

    def _spool(self, name: str) -> dict[str, Any]:
        """Return the part of a forwarder's configuration that enables its spool; {} if dead letters are off."""
        dead_letters = self._message.kept
        if not dead_letters.on:
            return {}
        max_bytes = dead_letters.spool_bytes if dead_letters.HasField("spool_bytes") else DEFAULT_SPOOL_BYTES
        return {"kept": {"spool": str(self._folder / "spool" / name), "max_bytes": max_bytes}}

    def _check_unique(self, field: str, values: Sequence[Any]) -> None:
        first: dict[Any, int] = {}
        for number, value in enumerate(values):
            if value and value in first:
                other = self._message.instance[first[value]].name
                self._faults.add(
                    f"instance[{number}].{field}",
                    f"must be unique: {value} is already used by instance {other}",
                )
            first.setdefault(value, number)
