"""Checks a parsed settings file and converts it to `FleetSettings`; called by `load`.

`redrive_checker` checks and converts the part `kept`, `instance_checker` the parts `instance`.
"""

from __future__ import annotations

from collections.abc import Sequence
from pathlib import Path

from juniperward.fleet.model import RestartPolicy, RollRules, Timeouts
from juniperward.settings import fleet_pb2
from juniperward.settings.base_files import BaseFiles
from juniperward.settings.fault_collector import FaultCollector
from juniperward.settings.fleet_settings import FleetSettings, InstanceSettings
from juniperward.settings.instance_checker import InstanceChecker
from juniperward.settings.redrive_checker import redrive_settings
from juniperward.settings.rule_keys import field_values
from juniperward.settings.value_checks import check_socket_path, checked_numbers

DEFAULT_LOG_BYTES = 10_000_000
DEFAULT_LOG_FILES_RETAINED = 3
DEFAULT_BATCH_SIZE = 1
SOCKET_NAME = "agent.sock"


def check_settings(file: Path, text: str, message: fleet_pb2.Fleet) -> FleetSettings:
    """Return the checked settings of a file.

    Args:
        file: The path of the file.
        text: The text of the file, from which the lines of faults are taken.
        message: The parsed text.

    Raises:
        SettingsError: with all faults, if there are any.

    """
    faults = FaultCollector(file, text)
    if not message.name:
        faults.add("name", "must not be empty")
    settings_folder = file.resolve().parent
    folder = settings_folder / (message.folder or f"{file.stem}.run")
    socket = folder / SOCKET_NAME
    check_socket_path(faults, "folder", socket)
    bases = BaseFiles(settings_folder, faults)
    instances = InstanceChecker(message, settings_folder, folder, bases, faults).instances()
    dead_letters, logs = message.kept, message.logs
    settings = FleetSettings(
        file=file,
        name=message.name,
        folder=folder,
        socket=socket,
        instances=instances,
        roll=_roll_rules(message.roll, instances, faults),
        restart=RestartPolicy(
            **field_values(RestartPolicy, checked_numbers(faults, "restart", message.restart))
        ),
        timeouts=Timeouts(**field_values(Timeouts, checked_numbers(faults, "patience", message.patience))),
        log_bytes=logs.bytes if logs.HasField("bytes") else DEFAULT_LOG_BYTES,
        log_files_retained=logs.keep if logs.HasField("keep") else DEFAULT_LOG_FILES_RETAINED,
        log_json=logs.json if logs.HasField("json") else None,
        redrive=redrive_settings(faults, dead_letters, bases.deadlines_s()) if dead_letters.on else None,
    )
    faults.raise_if_any()
    return settings


def _roll_rules(
    given: fleet_pb2.Roll, instances: Sequence[InstanceSettings], faults: FaultCollector
) -> RollRules:
    """Return the rules of a roll; by default, a roll keeps all but one batch of the instances ready."""
    rules = field_values(RollRules, checked_numbers(faults, "roll", given))
    running = sum(not instance.stopped for instance in instances)
    if not given.HasField("floor"):
        rules["min_ready"] = max(running - rules.get("batch_size", DEFAULT_BATCH_SIZE), 0)
    elif running and given.floor > running - 1:
        faults.add(
            "roll.floor",
            f"must be below {running}, not {given.floor}: with {running} running instances no roll can begin",
        )
    return RollRules(**rules)
