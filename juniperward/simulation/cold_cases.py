"""The cases of a cold return, and what came of one: `cold_return` plays them."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from juniperward.simulation.cold_budget import NOTIFIED_SHARE_THAT_BREAKS


class Outage(StrEnum):
    """How the destination is away."""

    FAILING = "failing"  # answers each call with an error at once
    MOSTLY_FAILING = "mostly failing"  # four calls of five
    SILENT = "silent"  # takes calls and never answers; they are reset at the return
    SHUT = "shut"  # refuses each call
    SHUT_WITH_WAIT = "shut, wait told"  # refuses, and tells a wait that ends with the return
    DOWN = "down"  # refuses connections: no call reaches it


@dataclass(frozen=True, slots=True)
class ColdCase:
    """What happens to the destination, and how its traffic comes."""

    outage: Outage
    listed: bool = False  # its rate is in the list, and it refuses calls above that
    batch: int = 1
    uneven: bool = False  # a few forwarders get most of the traffic
    half_see: bool = False  # every second forwarder gets no message during the outage
    clumps: bool = False  # a third of the messages come twelve at a time to one forwarder
    probing: bool = False  # messages that may not be repeated, where probes are allowed

    @property
    def name(self) -> str:
        """What sets it apart, for tables."""
        traits = ("listed", "uneven", "half_see", "clumps", "probing")
        said = [trait.replace("_", " ") for trait in traits if getattr(self, trait)]
        if self.batch > 1:
            said.append(f"batches of {self.batch}")
        return ", ".join([str(self.outage), *said])


CASES = (
    *(ColdCase(outage, listed) for outage in Outage for listed in (False, True)),
    *(ColdCase(Outage.FAILING, listed, uneven=True) for listed in (False, True)),
    *(ColdCase(Outage.FAILING, listed, half_see=True) for listed in (False, True)),
    *(ColdCase(Outage.FAILING, listed, clumps=True) for listed in (False, True)),
    *(ColdCase(Outage.FAILING, listed, batch=20) for listed in (False, True)),
    *(ColdCase(Outage.FAILING, listed, probing=True) for listed in (False, True)),
    ColdCase(Outage.SILENT, True, uneven=True),
    ColdCase(Outage.SHUT_WITH_WAIT, True, uneven=True, clumps=True),
    ColdCase(Outage.SHUT_WITH_WAIT, False, batch=20, half_see=True),
)


@dataclass(frozen=True, slots=True)
class Span:
    """Calls that came in one span, against what it bears; times count from the return."""

    ends_s: float
    calls: int
    from_notified: int
    most: float

    @property
    def share(self) -> float:
        """The calls as a share of what it bears."""
        return self.calls / self.most

    @property
    def over(self) -> bool:
        """Whether it makes the destination fall."""
        return self.calls > self.most

    @property
    def breaks_the_rule(self) -> bool:
        """Whether over two thirds of what made it fall came from forwarders that had been notified."""
        return self.over and self.from_notified > NOTIFIED_SHARE_THAT_BREAKS * self.calls


@dataclass(slots=True)
class ColdReturnResult:
    """What came of one return."""

    case: ColdCase
    forwarders: int
    seed: int
    capacity: float = 0.0
    first_over: Span | None = None
    fullest: Span | None = None  # by calls as a share of what it bears
    over_by_mean: bool = False  # some span is over the bound by the mean capacity over it
    over_with_outage: bool = False  # some span is over the bound if calls of the outage's end count as well
    notified_alone_over: bool = (
        False  # the calls of notified forwarders alone are over the bound in some span
    )
    notified: int = 0  # forwarders notified of the outage (by a failure) before the return
    offered: int = 0  # messages that came from the outage's beginning to the end of the ramp
    delivered: int = 0  # messages delivered in the ramp
    worth: float = 0.0  # share of the worth of the offered ones that was kept

    @property
    def breaks_the_rule(self) -> bool:
        """Whether the first fall is put down to forwarders that had been notified."""
        return self.first_over is not None and self.first_over.breaks_the_rule
