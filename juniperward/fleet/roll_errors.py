"""Why a request for a roll is rejected; the text of each goes to the client.

Raised by `roll_commands` and by the agent's reducer.
"""

from __future__ import annotations

from collections.abc import Sequence


class RollRejectedError(Exception):
    """A request that cannot be followed."""


class UnknownInstanceError(RollRejectedError):
    """The request names instances that the settings do not have."""

    def __init__(self, names: Sequence[str]) -> None:
        """Name them."""
        self.names = tuple(names)
        super().__init__(f"no such instance: {', '.join(names)}")


class NothingRunningError(RollRejectedError):
    """None of the instances is meant to run."""

    def __init__(self) -> None:
        """Build the text."""
        super().__init__("none of these instances is meant to run")


class BatchSizeError(RollRejectedError):
    """No instance at all may be restarted at a time."""

    def __init__(self) -> None:
        """Build the text."""
        super().__init__("at_once: at least one instance at a time")


class FloorError(RollRejectedError):
    """So many instances must stay ready that none can be restarted."""

    def __init__(self, floor: int, meant_to_run: int) -> None:
        """Take the floor, and how many instances are meant to run."""
        self.floor, self.meant_to_run = floor, meant_to_run
        super().__init__(f"floor: {floor} of {meant_to_run} must stay ready, so none can be restarted")


class RollOverError(RollRejectedError):
    """The roll is over."""

    def __init__(self, roll_id: str, mode: str) -> None:
        """Name the roll and the mode that it ended in."""
        self.roll_id, self.mode = roll_id, mode
        super().__init__(f"roll {roll_id} is over: {mode}")


class RollNotPausedError(RollRejectedError):
    """Only a paused roll can go on."""

    def __init__(self, roll_id: str, mode: str) -> None:
        """Name the roll and its mode."""
        self.roll_id, self.mode = roll_id, mode
        super().__init__(f"roll {roll_id} is {mode}, not paused")


class RollUnderWayError(RollRejectedError):
    """Another roll is not over yet."""

    def __init__(self, roll_id: str, mode: str) -> None:
        """Name the roll and its mode."""
        self.roll_id, self.mode = roll_id, mode
        super().__init__(f"roll {roll_id} is under way ({mode})")


class RollBeingSavedError(RollRejectedError):
    """A step of the roll is being stored; the request may be sent again at once."""

    def __init__(self) -> None:
        """Build the text."""
        super().__init__("a step of a roll is being stored; send the request again")


class NoRollError(RollRejectedError):
    """No roll has been made yet."""

    def __init__(self) -> None:
        """Build the text."""
        super().__init__("no roll has been made")


class UnknownOrderError(RollRejectedError):
    """The agent knows no such order."""

    def __init__(self, verb: str) -> None:
        """Name it."""
        self.verb = verb
        super().__init__(f"no such order: {verb}")


class UnknownRuleError(RollRejectedError):
    """A roll has no such rule."""

    def __init__(self, rule: str) -> None:
        """Name it."""
        self.rule = rule
        super().__init__(f"no such rule of a roll: {rule}")


class RuleValueError(RollRejectedError):
    """A rule of a roll cannot have this value."""

    def __init__(self, rule: str, why: str) -> None:
        """Name the rule, and why the value does not fit."""
        self.rule = rule
        super().__init__(f"{rule}: {why}")
