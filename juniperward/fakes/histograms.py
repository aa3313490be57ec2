"""Histograms of latencies in seconds, which processes can send to each other: HdrHistograms in microseconds."""

from __future__ import annotations

from hdrh.histogram import HdrHistogram

HIGHEST_US = 60_000_000  # latencies above it are counted as this
SIGNIFICANT_DIGITS = 2


class LatencyHistogram:
    """Counts latencies, with two significant digits."""

    def __init__(self) -> None:
        """Begin with none."""
        self._histogram = HdrHistogram(1, HIGHEST_US, SIGNIFICANT_DIGITS)

    def record(self, seconds: float) -> None:
        """Count a latency."""
        self._histogram.record_value(min(max(int(seconds * 1e6), 1), HIGHEST_US))

    @property
    def count(self) -> int:
        """How many latencies were counted."""
        return int(self._histogram.get_total_count())

    def quantile(self, fraction: float) -> float:
        """Return the seconds below which that fraction lies; 0 of none."""
        if not self.count:
            return 0.0
        return float(self._histogram.get_value_at_percentile(100 * fraction)) / 1e6

    def encode(self) -> bytes:
        """Return all that was counted, for `add_encoded` in another process."""
        encoded: bytes = self._histogram.encode()
        return encoded

    def add_encoded(self, encoded: bytes) -> None:
        """Add what another histogram has counted."""
        self._histogram.decode_and_add(encoded)
