"""Reads the headers of endpoints' answers: Retry-After and the load report."""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass

from juniperward.forwarder.limited_json import read_json
from juniperward.forwarder.telemetry import increment
from juniperward.net.http_values import DECIMAL
from juniperward.net.partial_response import PartialResponse

MAX_RETRY_AFTER_S = 3600.0  # A longer Retry-After is ignored.
MAX_LOAD_REPORT_BYTES = 1024


@dataclass(frozen=True, slots=True)
class LoadReport:
    """An endpoint's load report: the unused fraction of its rate limit, and the limit in calls per second."""

    capacity_left: float | None = None
    limit_per_s: float | None = None

    def is_valid(self) -> bool:
        """Return whether the fraction is between 0 and 1 and the limit is finite and not negative."""
        is_fraction = self.capacity_left is None or 0 <= self.capacity_left <= 1
        is_rate = self.limit_per_s is None or 0 <= self.limit_per_s < math.inf
        return is_fraction and is_rate


EMPTY_LOAD_REPORT = LoadReport()


def read_retry_after(headers: Mapping[str, str]) -> float:
    """Return the seconds of Retry-After; 0 where it is absent, invalid or longer than an hour."""
    text = headers.get("retry-after", "0")
    wait_s = float(text) if DECIMAL.fullmatch(text) else 0.0
    return wait_s if wait_s <= MAX_RETRY_AFTER_S else 0.0


def read_partial_retry_after(answer: PartialResponse) -> float:
    """Return the longest Retry-After of an incomplete answer, of whose value only a part may be known; 0 if none."""
    return max(
        (read_retry_after({"retry-after": text}) for text in answer.header_values("retry-after")), default=0.0
    )


def read_load_report(headers: Mapping[str, str]) -> LoadReport:
    """Return the load report of an answer; an empty one where it is absent or invalid."""
    text = headers.get("x-backend-load", "").encode("latin-1")
    if not text:
        return EMPTY_LOAD_REPORT
    try:
        report = read_json(text, 1)
        if isinstance(report, dict) and len(text) <= MAX_LOAD_REPORT_BYTES:
            load_report = LoadReport(_number(report, "x0"), _number(report, "x1"))
            if load_report.is_valid():
                return load_report
    except (ValueError, TypeError, OverflowError):
        pass
    increment("load_reports_invalid")
    return EMPTY_LOAD_REPORT


def _number(report: dict[str, str | float], key: str) -> float | None:
    return float(report[key]) if key in report else None
