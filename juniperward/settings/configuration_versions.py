"""Editions: the settings of all instances as they were at a moment, kept so that a roll can go back to them."""

from __future__ import annotations

import hashlib
import json
import os
import shutil
from pathlib import Path
from typing import Any

from juniperward.settings.load import FleetSettings

KEEP = 8  # editions kept beside those in use


def version_of(settings: FleetSettings) -> str:
    """A short name for what the instances' configurations say; equal where they are."""
    text = json.dumps({i.name: i.config for i in settings.instances}, sort_keys=True)
    return hashlib.sha256(text.encode()).hexdigest()[:10]


class ConfigurationVersions:
    """The folder of editions; one file an instance and edition."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder

    def keep(self, settings: FleetSettings, in_use: set[str]) -> str:
        """Write the edition down, if it is new, and drop the oldest; raises OSError."""
        name = version_of(settings)
        target = self.folder / name
        if not target.is_dir():
            fresh = self.folder / f".{name}.{os.getpid()}"
            fresh.mkdir(mode=0o700, parents=True)
            for i in settings.instances:
                (fresh / f"{i.name}.json").write_text(json.dumps(i.config, indent=1, sort_keys=True))
            os.rename(fresh, target)
        else:
            os.utime(target)
        found = sorted((p for p in self.folder.iterdir() if p.is_dir()), key=lambda p: p.stat().st_mtime)
        for old in found[:-KEEP]:
            if old.name not in in_use and old.name != name:
                shutil.rmtree(old, ignore_errors=True)
        return name

    def read(self, edition: str, instance: str) -> dict[str, Any]:
        """The configuration of an instance in an edition; raises OSError or ValueError."""
        found = json.loads((self.folder / edition / f"{instance}.json").read_text())
        if not isinstance(found, dict):
            raise ValueError(f"edition {edition}: {instance}.json holds no object")
        return found
