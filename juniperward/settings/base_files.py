"""The JSON files with the forwarders' own configuration that a settings file names as `base`."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

from juniperward.settings.fault_collector import FaultCollector


class BaseShapeError(ValueError):
    """A base file is JSON of another shape."""

    def __init__(self) -> None:
        """Say what is needed."""
        super().__init__("an object with the key `settings` is needed")


class BaseFiles:
    """Reads each file once."""

    def __init__(self, folder: Path, faults: FaultCollector) -> None:
        """Read files relative to the settings file's folder."""
        self._folder, self._faults = folder, faults
        self._contents: dict[Path, dict[str, Any]] = {}

    def read(self, name: str, field: str) -> dict[str, Any]:
        """Return a file's content; for one that cannot be used record one fault at `field`, and return {}."""
        if not name:
            if not self._faults.has(field):
                self._faults.add(field, "the JSON file with `settings` and `limits` must be named")
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
        """Return each class's deadline in seconds, over all files that were read."""
        return {
            service["Name"]: float(service["DeadlineMs"]) / 1000
            for content in self._contents.values()
            for service in content.get("settings", {}).get("Services", [])
        }


def _read_json(path: Path) -> dict[str, Any]:
    found = json.loads(path.read_text())
    if not isinstance(found, dict) or not isinstance(found.get("settings"), dict):
        raise BaseShapeError
    return found
