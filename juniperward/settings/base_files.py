"""The JSON files that a settings file names as `base`: the part of the configuration that forwarders share."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

from juniperward.settings.fault_collector import FaultCollector


class InvalidBaseFileError(ValueError):
    """A base file has no object under the key `settings`."""

    def __init__(self) -> None:
        """Build the message."""
        super().__init__("must be a JSON object that has an object under the key `settings`")


class BaseFiles:
    """Reads the base files of one settings file, each of them once."""

    def __init__(self, folder: Path, faults: FaultCollector) -> None:
        """Read files relative to `folder`, the folder of the settings file."""
        self._folder, self._faults = folder, faults
        self._contents: dict[Path, dict[str, Any]] = {}

    def read(self, name: str, field: str) -> dict[str, Any]:
        """Return the content of a base file; if it is unusable, record a fault and return {}.

        Args:
            name: The path of the file, relative to the settings file.
            field: The field of the settings file that names it, for the fault.

        """
        if not name:
            if not self._faults.has(field):
                self._faults.add(field, "must name a JSON file with the keys `settings` and `limits`")
            return {}
        path = self._folder / name
        if path not in self._contents:
            self._contents[path] = self._read(path, field)
        return self._contents[path]

    def _read(self, path: Path, field: str) -> dict[str, Any]:
        try:
            return _read_json(path)
        except (OSError, ValueError) as error:
            reason = getattr(error, "strerror", None) or error
            self._faults.add(field, f"{path}: {reason}")
            return {}

    def deadlines_s(self) -> dict[str, float]:
        """Return the deadline of each message class, from all files that were read."""
        return {
            service["Name"]: float(service["DeadlineMs"]) / 1000
            for content in self._contents.values()
            for service in content.get("settings", {}).get("Services", [])
        }


def _read_json(path: Path) -> dict[str, Any]:
    content = json.loads(path.read_text())
    if not isinstance(content, dict) or not isinstance(content.get("settings"), dict):
        raise InvalidBaseFileError
    return content
