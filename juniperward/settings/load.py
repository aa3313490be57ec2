"""Loads a fleet's settings file, and formats loaded settings.

Used by the agent for its settings, and by the command line for the files that it checks.
"""

from __future__ import annotations

import re
from dataclasses import fields
from pathlib import Path

from google.protobuf import text_format

from juniperward.settings import fleet_pb2
from juniperward.settings.checker import check_settings
from juniperward.settings.faults import Fault, SettingsError
from juniperward.settings.fleet_settings import FleetSettings, InstanceSettings
from juniperward.settings.line_index import field_lines
from juniperward.settings.rule_keys import settings_key

__all__ = [
    "Fault",
    "FleetSettings",
    "InstanceSettings",
    "SettingsError",
    "field_lines",
    "format_settings",
    "load",
]


def load(file: Path) -> FleetSettings:
    """Return the settings of a file; raises SettingsError with all faults."""
    try:
        text = file.read_text()
    except (OSError, UnicodeDecodeError) as error:
        why = getattr(error, "strerror", None) or str(error)
        raise SettingsError([Fault(str(file), 0, "", why)]) from error
    try:
        message = text_format.Parse(text, fleet_pb2.Fleet())
    except text_format.ParseError as error:
        line = error.GetLine() or 0
        reason = re.sub(r"^\d+:\d+ : ", "", str(error))
        raise SettingsError([Fault(str(file), line, "", reason)]) from error
    return check_settings(file, text, message)


def format_settings(settings: FleetSettings) -> str:
    """Return settings in protobuf text format, with the defaults filled in."""
    message = fleet_pb2.Fleet(name=settings.name, folder=str(settings.folder))
    for instance in settings.instances:
        message.instance.add(
            name=instance.name,
            listen=instance.listen,
            registry=instance.config["discovery"],
            state=str(instance.state),
            stopped=instance.stopped,
        )
    parts = (
        (message.restart, settings.restart),
        (message.patience, settings.timeouts),
        (message.roll, settings.roll),
    )
    for part, values in parts:
        for field in fields(values):
            key = settings_key(type(values), field.name)
            if key in part.DESCRIPTOR.fields_by_name:
                setattr(part, key, getattr(values, field.name))
    message.logs.bytes = settings.log_bytes
    message.logs.keep = settings.log_files_retained
    return text_format.MessageToString(message)
