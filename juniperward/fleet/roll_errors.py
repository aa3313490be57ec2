"""Errors that reject a request for a roll; the agent returns their text to its client.

Raised by `roll_commands` and by the agent's reducer.
"""

from __future__ import annotations

from collections.abc import Sequence


class RollRejectedError(Exception):
    """A request for a roll was rejected."""


class UnknownInstanceError(RollRejectedError):
    """The request names instances that are not in the settings."""

    def __init__(self, names: Sequence[str]) -> None:
        """Build the message from the unknown names."""
        self.names = tuple(names)
        super().__init__(f"no such instance: {', '.join(names)}")


class NothingRunningError(RollRejectedError):
    """None of the named instances should run."""

    def __init__(self) -> None:
        """Build the message."""
        super().__init__("the desired state of all of these instances is stopped")


class BatchSizeError(RollRejectedError):
    """The batch size is less than 1."""

    def __init__(self) -> None:
        """Build the message."""
        super().__init__("at_once: must be at least 1")


class FloorError(RollRejectedError):
    """The floor is so high that no instance can be restarted."""

    def __init__(self, floor: int, desired_running: int) -> None:
        """Build the message from the floor and the number of instances that should run."""
        self.floor, self.desired_running = floor, desired_running
        super().__init__(f"floor: {floor} of {desired_running} must stay ready, so none can be restarted")


class RollOverError(RollRejectedError):
    """The roll is over and accepts no commands."""

    def __init__(self, roll_id: str, mode: str) -> None:
        """Build the message from the roll's id and its final mode."""
        self.roll_id, self.mode = roll_id, mode
        super().__init__(f"roll {roll_id} is over: {mode}")


class RollNotPausedError(RollRejectedError):
    """A roll that is not paused cannot be resumed."""

    def __init__(self, roll_id: str, mode: str) -> None:
        """Build the message from the roll's id and its mode."""
        self.roll_id, self.mode = roll_id, mode
        super().__init__(f"roll {roll_id} is {mode}, not paused")


class RollUnderWayError(RollRejectedError):
    """A roll cannot be planned while another one is not over."""

    def __init__(self, roll_id: str, mode: str) -> None:
        """Build the message from the other roll's id and its mode."""
        self.roll_id, self.mode = roll_id, mode
        super().__init__(f"roll {roll_id} is under way ({mode})")


class RollBeingSavedError(RollRejectedError):
    """A changed roll is being stored; the client may retry at once."""

    def __init__(self) -> None:
        """Build the message."""
        super().__init__("a changed roll is being stored; send the request again")


class NoRollError(RollRejectedError):
    """The agent has no roll yet."""

    def __init__(self) -> None:
        """Build the message."""
        super().__init__("there is no roll")


class UnknownVerbError(RollRejectedError):
    """The agent's API has no such verb."""

    def __init__(self, verb: str) -> None:
        """Build the message from the verb."""
        self.verb = verb
        super().__init__(f"no such verb: {verb}")


class UnknownRuleError(RollRejectedError):
    """A roll has no rule of this name."""

    def __init__(self, rule: str) -> None:
        """Build the message from the rule's name."""
        self.rule = rule
        super().__init__(f"no such roll rule: {rule}")


class RuleValueError(RollRejectedError):
    """The value of a roll rule is invalid."""

    def __init__(self, rule: str, problem: str) -> None:
        """Build the message from the rule's name and what is wrong with the value."""
        self.rule = rule
        super().__init__(f"{rule}: {problem}")
