"""Resources that a test opens; they are closed after the test in reverse order."""

from __future__ import annotations

from contextlib import ExitStack
from typing import Protocol, TypeVar

import pytest


class Closeable(Protocol):
    def close(self) -> object: ...


Opened = TypeVar("Opened", bound=Closeable)


class Resources(ExitStack):
    """The open resources of one test; the fixture `resources` closes them."""

    def closing(self, opened: Opened) -> Opened:
        """Register an object to be closed after the test, and return it."""
        self.callback(opened.close)
        return opened


class UsesResources:
    """Base class of test classes whose methods open resources."""

    resources: Resources

    @pytest.fixture(autouse=True)
    def set_up_resources(self, resources: Resources) -> None:
        self.resources = resources
