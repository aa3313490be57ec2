"""Histograms of latencies that can be sent between processes."""

from __future__ import annotations

from hdrh.histogram import HdrHistogram

MAX_LATENCY_US = 60_000_000
SIGNIFICANT_DIGITS = 2


class LatencyHistogram:
    """A histogram of latencies in seconds, with two significant digits."""

    def __init__(self) -> None:
        """Create an empty histogram."""
        self._histogram = HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)

    def record(self, seconds: float) -> None:
        """Count a latency; one above MAX_LATENCY_US counts as that maximum."""
        self._histogram.record_value(min(max(int(seconds * 1e6), 1), MAX_LATENCY_US))

    @property
    def count(self) -> int:
        """The number of recorded latencies."""
        return int(self._histogram.get_total_count())

    def quantile(self, fraction: float) -> float:
        """Return a quantile in seconds, for a fraction from 0 to 1; 0 if the histogram is empty."""
        if not self.count:
            return 0.0
        return float(self._histogram.get_value_at_percentile(100 * fraction)) / 1e6

    def encode(self) -> bytes:
        """Return the counts in the format of `add_encoded`."""
        encoded: bytes = self._histogram.encode()
        return encoded

    def add_encoded(self, encoded: bytes) -> None:
        """Add the encoded counts of another histogram."""
        self._histogram.decode_and_add(encoded)
