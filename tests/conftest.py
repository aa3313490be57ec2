"""Fixtures that every test may request."""

from __future__ import annotations

from collections.abc import Iterator

import pytest

from tests.resources import Resources


@pytest.fixture
def resources() -> Iterator[Resources]:
    """Close what the test opened, the last first."""
    with Resources() as opened:
        yield opened
