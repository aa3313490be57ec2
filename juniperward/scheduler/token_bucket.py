"""A token bucket, which admission uses for the quotas of tenants."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, eq=False)
class TokenBucket:
    """A token bucket whose capacity is the tokens of one second, or one token at lower rates."""

    rate_per_s: float
    level: float = 1.0
    filled_at: float = 0.0

    def take(self, now: float) -> bool:
        """Refill the bucket, and take a token if there is one; return whether there was."""
        capacity = max(self.rate_per_s, 1.0)
        self.level = min(capacity, self.level + (now - self.filled_at) * self.rate_per_s)
        self.filled_at = now
        if self.level < 1.0:
            return False
        self.level -= 1.0
        return True
