"""Saved versions of the forwarders' configurations, so that a roll can be undone.

The agent saves a version at its start and at each reload: a folder with one JSON file for each instance.
"""

from __future__ import annotations

import hashlib
import json
import os
import shutil
from pathlib import Path
from typing import Any

from juniperward.settings.load import FleetSettings

# The newest versions are retained even if no instance or roll uses them.
MAX_RECENT_VERSIONS = 8
VERSION_DIGITS = 10
PRIVATE_FOLDER_MODE = 0o700


class SavedVersionError(ValueError):
    """A saved configuration is not a JSON object."""

    def __init__(self, version: str, instance: str) -> None:
        """Build the message from the version and the name of the instance."""
        super().__init__(f"configuration version {version}: {instance}.json must be a JSON object")


def version_of(settings: FleetSettings) -> str:
    """Return the name of the version that has these configurations, a digest of them."""
    text = json.dumps({instance.name: instance.config for instance in settings.instances}, sort_keys=True)
    return hashlib.sha256(text.encode()).hexdigest()[:VERSION_DIGITS]


class ConfigurationVersions:
    """The saved versions in a folder."""

    def __init__(self, folder: Path) -> None:
        """Use `folder`, which is created with the first version."""
        self.folder = folder

    def save(self, settings: FleetSettings, in_use: set[str]) -> str:
        """Save the instances' configurations as a version, unless it exists, and return its name.

        Deletes the oldest versions beyond MAX_RECENT_VERSIONS, except those in use.

        Args:
            settings: The settings with the instances' configurations.
            in_use: The versions that must be retained.

        Raises:
            OSError: if the version cannot be written.

        """
        name = version_of(settings)
        target = self.folder / name
        if not target.is_dir():
            temporary = self.folder / f".{name}.{os.getpid()}"
            temporary.mkdir(mode=PRIVATE_FOLDER_MODE, parents=True)
            for instance in settings.instances:
                text = json.dumps(instance.config, indent=1, sort_keys=True)
                (temporary / f"{instance.name}.json").write_text(text)
            temporary.rename(target)
        else:
            os.utime(target)
        self._delete_oldest(in_use | {name})
        return name

    def _delete_oldest(self, in_use: set[str]) -> None:
        saved = [path for path in self.folder.iterdir() if path.is_dir()]
        saved.sort(key=lambda path: path.stat().st_mtime)
        for old in saved[:-MAX_RECENT_VERSIONS]:
            if old.name not in in_use:
                shutil.rmtree(old, ignore_errors=True)

    def read(self, version: str, instance: str) -> dict[str, Any]:
        """Return the configuration of an instance in a version; raises OSError or ValueError."""
        config = json.loads((self.folder / version / f"{instance}.json").read_text())
        if not isinstance(config, dict):
            raise SavedVersionError(version, instance)
        return config
