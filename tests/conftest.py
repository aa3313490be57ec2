"""Fixtures that are available to all tests."""

from __future__ import annotations

from collections.abc import Iterator

import pytest

from tests.resources import Resources


@pytest.fixture
def resources() -> Iterator[Resources]:
    """Provide a stack of resources, and close them after the test in reverse order."""
    with Resources() as opened:
        yield opened
