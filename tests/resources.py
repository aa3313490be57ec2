"""What a test opens and pytest closes after it, the last first."""

from __future__ import annotations

from contextlib import ExitStack
from typing import Protocol, TypeVar

import pytest


class Closeable(Protocol):
    def close(self) -> object: ...


Opened = TypeVar("Opened", bound=Closeable)


class Resources(ExitStack):
    """The resources of one test; the fixture `resources` closes them."""

    def closing(self, opened: Opened) -> Opened:
        """Return what was opened, and close it after the test."""
        self.callback(opened.close)
        return opened


class UsesResources:
    """A group of tests whose methods open resources."""

    resources: Resources

    @pytest.fixture(autouse=True)
    def set_up_resources(self, resources: Resources) -> None:
        self.resources = resources
