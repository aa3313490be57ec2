"""Previews the redrive rules of another settings file: which messages they would redrive, and why others stay."""

from __future__ import annotations

from dataclasses import dataclass, field
from pathlib import Path

from juniperward.agent.dead_letter_errors import DeadLettersDisabledError, InvalidRequestError
from juniperward.agent.running_fleet import RunningFleet
from juniperward.dead_letters.dead_letter import DeadLetter, Status
from juniperward.dead_letters.redrive_rules import requested_by
from juniperward.dead_letters.redrive_safety import RedriveSafety, assess_redrive
from juniperward.dead_letters.redrive_settings import RedriveSettings
from juniperward.dead_letters.selection import START_POSITION, Filter, Position
from juniperward.dead_letters.store import DeadLetterStore
from juniperward.settings.load import SettingsError, load

PAGE_SIZE = 500
NO_MATCHING_RULE = "no rule takes it"


@dataclass(slots=True)
class RedrivePreview:
    """Counts of the messages that rules would redrive, and of those that would stay.

    Attributes:
        redriven: The number of redriven messages by rule and destination.
        retained: The number of messages that would stay, by reason.

    """

    redriven: dict[str, dict[str, int]] = field(default_factory=dict)
    retained: dict[str, int] = field(default_factory=dict)

    def count_redriven(self, rule: str, destination: int) -> None:
        """Count a message that a rule would redrive."""
        by_destination = self.redriven.setdefault(rule, {})
        key = str(destination)
        by_destination[key] = by_destination.get(key, 0) + 1

    def count_retained(self, why: str) -> None:
        """Count a message that would stay, with the reason."""
        self.retained[why] = self.retained.get(why, 0) + 1


def redrive_settings(file: Path) -> RedriveSettings:
    """Return the redrive settings of a fleet's settings file.

    Raises:
        InvalidRequestError: if the file cannot be read or has errors.
        DeadLettersDisabledError: if the file does not enable dead letters.

    """
    try:
        settings = load(file).redrive
    except SettingsError as error:
        raise InvalidRequestError(str(error)) from error
    if settings is None:
        raise DeadLettersDisabledError(file)
    return settings


def preview_redrives(
    store: DeadLetterStore, fleet: RunningFleet, settings: RedriveSettings, now: float
) -> RedrivePreview:
    """Return what these settings would do with the stored messages at the time `now`; nothing is sent."""
    preview = RedrivePreview()
    after = START_POSITION
    while page := store.select(Filter(status=Status.STORED), PAGE_SIZE, after):
        after = Position(page[-1].given_up_at, page[-1].id)
        for message in page:
            _count(preview, message, fleet.known_endpoints(message.destination), settings, now)
    return preview


def _count(
    preview: RedrivePreview,
    message: DeadLetter,
    endpoints: frozenset[str] | None,
    settings: RedriveSettings,
    now: float,
) -> None:
    assessment = assess_redrive(message, now, endpoints, settings.clock_allowance_s)
    if not assessment.is_allowed:
        uncertain = assessment.safety is RedriveSafety.UNCERTAIN
        preview.count_retained(assessment.safety.value if uncertain else assessment.reason)
        return
    rule = requested_by(message, settings.rules, now)
    if rule:
        preview.count_redriven(rule, message.destination)
    else:
        preview.count_retained(NO_MATCHING_RULE)
