"""Saved versions of a configuration, on disk: a roll can go back to each that an instance still runs.

The agent saves one at its start and at each reload: a folder a version, a JSON file an instance.
"""

from __future__ import annotations

import hashlib
import json
import os
import shutil
from pathlib import Path
from typing import Any

from juniperward.settings.load import FleetSettings

MAX_UNUSED = 8  # versions retained beside those in use
DIGEST_DIGITS = 10  # of a version's name
PRIVATE_FOLDER = 0o700


class SavedVersionError(ValueError):
    """A saved configuration is no object."""

    def __init__(self, version: str, instance: str) -> None:
        """Take the version and the instance."""
        super().__init__(f"configuration version {version}: {instance}.json holds no object")


def version_of(settings: FleetSettings) -> str:
    """Return a short name for what the instances' configurations say; equal where they are."""
    text = json.dumps({instance.name: instance.config for instance in settings.instances}, sort_keys=True)
    return hashlib.sha256(text.encode()).hexdigest()[:DIGEST_DIGITS]


class ConfigurationVersions:
    """A folder of versions; one file for each instance in each."""

    def __init__(self, folder: Path) -> None:
        """Save versions in `folder`, which is made with the first."""
        self.folder = folder

    def save(self, settings: FleetSettings, in_use: set[str]) -> str:
        """Save the configuration, if it is new, and drop the oldest; return its version. Raises OSError."""
        name = version_of(settings)
        target = self.folder / name
        if not target.is_dir():
            fresh = self.folder / f".{name}.{os.getpid()}"
            fresh.mkdir(mode=PRIVATE_FOLDER, parents=True)
            for instance in settings.instances:
                text = json.dumps(instance.config, indent=1, sort_keys=True)
                (fresh / f"{instance.name}.json").write_text(text)
            fresh.rename(target)
        else:
            os.utime(target)
        self._drop_oldest(in_use | {name})
        return name

    def _drop_oldest(self, in_use: set[str]) -> None:
        saved = [path for path in self.folder.iterdir() if path.is_dir()]
        saved.sort(key=lambda path: path.stat().st_mtime)
        for old in saved[:-MAX_UNUSED]:
            if old.name not in in_use:
                shutil.rmtree(old, ignore_errors=True)

    def read(self, version: str, instance: str) -> dict[str, Any]:
        """Return the configuration of an instance in a version; raises OSError or ValueError."""
        found = json.loads((self.folder / version / f"{instance}.json").read_text())
        if not isinstance(found, dict):
            raise SavedVersionError(version, instance)
        return found
