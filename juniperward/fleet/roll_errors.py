"""Why an order for a roll cannot be followed. The text of each goes to the person who gave the order."""

from __future__ import annotations

from collections.abc import Sequence


class RollRejectedError(Exception):
    """An order that cannot be followed."""


class UnknownInstanceError(RollRejectedError):
    """The order names instances that the settings do not have."""

    def __init__(self, names: Sequence[str]) -> None:
        """Name them."""
        self.names = tuple(names)
        super().__init__(f"no such instance: {', '.join(names)}")


class NothingRunningError(RollRejectedError):
    """None of the instances is meant to run."""

    def __init__(self) -> None:
        """Say so."""
        super().__init__("none of these instances is meant to run")


class BatchSizeError(RollRejectedError):
    """No instance at all may be restarted at a time."""

    def __init__(self) -> None:
        """Say so."""
        super().__init__("at_once: at least one instance at a time")


class FloorError(RollRejectedError):
    """So many instances must stay ready that none can be restarted."""

    def __init__(self, floor: int, wanted: int) -> None:
        """Tell the floor, and how many instances are meant to run."""
        self.floor, self.wanted = floor, wanted
        super().__init__(f"floor: {floor} of {wanted} must stay ready, so none can be restarted")


class RollOverError(RollRejectedError):
    """The roll is over."""

    def __init__(self, roll_id: str, mode: str) -> None:
        """Tell which, and how it ended."""
        self.roll_id, self.mode = roll_id, mode
        super().__init__(f"roll {roll_id} is over: {mode}")


class RollNotPausedError(RollRejectedError):
    """Only a paused roll can go on."""

    def __init__(self, roll_id: str, mode: str) -> None:
        """Tell which, and what it is doing."""
        self.roll_id, self.mode = roll_id, mode
        super().__init__(f"roll {roll_id} is {mode}, not paused")


class RollUnderWayError(RollRejectedError):
    """Another roll is not over yet."""

    def __init__(self, roll_id: str, mode: str) -> None:
        """Tell which, and what it is doing."""
        self.roll_id, self.mode = roll_id, mode
        super().__init__(f"roll {roll_id} is under way ({mode})")


class RollBeingWrittenError(RollRejectedError):
    """A step is being written down; the order may be given again at once."""

    def __init__(self) -> None:
        """Say so."""
        super().__init__("a step of a roll is being written down; ask again")


class NoRollError(RollRejectedError):
    """No roll has been made yet."""

    def __init__(self) -> None:
        """Say so."""
        super().__init__("no roll has been made")


class UnknownOrderError(RollRejectedError):
    """The agent knows no such order."""

    def __init__(self, verb: str) -> None:
        """Tell which."""
        self.verb = verb
        super().__init__(f"no such order: {verb}")


class UnknownRuleError(RollRejectedError):
    """A roll has no such rule."""

    def __init__(self, rule: str) -> None:
        """Tell which."""
        self.rule = rule
        super().__init__(f"no such rule of a roll: {rule}")


class RuleValueError(RollRejectedError):
    """A rule of a roll cannot have this value."""

    def __init__(self, rule: str, why: str) -> None:
        """Tell which rule, and what is wrong with the value."""
        self.rule = rule
        super().__init__(f"{rule}: {why}")
