"""Writes the files of a local cluster: the fleet file, and the configuration that all its forwarders share."""

from __future__ import annotations

import json
from collections.abc import Iterable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from google.protobuf import text_format

from juniperward.settings import fleet_pb2

# The processes of a cluster run the code below this folder.
ROOT = Path(__file__).parent.parent.parent
BASE_CONFIGURATION: dict[str, Any] = {
    "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3},
    "settings": {
        "Services": [
            {
                "Name": "booking-update", "AimMs": 3000.0, "DeadlineMs": 20000.0, "Effect": "by_key",
                "DedupScope": "all", "WindowMs": 12000.0, "LateWorth": 0.3, "Worth": 1.0,
            },
        ],
        "Limits": {
            "MaxOpen": 400, "MaxAttempts": 8, "RetryAfter": True, "MaxRetryAfterMs": 2000.0, "Cancel": True,
            "DialTimeoutMs": 1000.0, "KeepaliveMs": 10000.0,
        },
        "Specifics": {"MaxCalls": 32, "BatchByKind": [20, 1], "RoutesApart": [False, False]},
        "Invariants": {"AnswerSlackMs": 20.0, "DrainGraceMs": 250.0, "FallMultiple": 2.0, "FallMs": 3000.0},
        "Kinds": ["booking-sites", "small-partners"],
        "FailureDomains": ["aluva"],
        "Tenants": [
            {"Name": "valiya-cluster", "QuotaPerS": 1000.0, "Share": 0.6},
            {"Name": "kovil-cluster", "QuotaPerS": 1000.0, "Share": 0.4},
        ],
        "MembershipMode": "on_request",
        "ResolutionMs": 5.0,
    },
}  # fmt: skip
ACCOUNTS = (("valiya-cluster", 0.6), ("kovil-cluster", 0.4))
FLEET_PARTS: dict[str, dict[str, float]] = {
    "patience": {"silent": 1.0, "start": 8.0, "stop": 4.0},
    "roll": {"drain": 6.0, "soak": 0.5, "soak_most": 3.0, "least_calls": 5, "patience": 8.0},
    "restart": {"first": 0.2, "most": 2.0},
}


@dataclass(frozen=True)
class Instance:
    """A forwarder's name, the address it listens on, and the address (HOST:PORT) of its discovery."""

    name: str
    address: tuple[str, int]
    discovery: str


@dataclass
class ClusterFiles:
    """The contents of a fleet's files; `write` may be called again while the fleet runs.

    Attributes:
        folder: The folder that the files are written to.
        parts: Values that override those of FLEET_PARTS, by message of the fleet file ("patience", "roll").
        base: The configuration that all forwarders share.
        dead_letters: The settings of the dead-letter store; None turns it off.
    """

    folder: Path
    parts: dict[str, dict[str, float]]
    base: dict[str, Any] = field(default_factory=lambda: json.loads(json.dumps(BASE_CONFIGURATION)))
    dead_letters: fleet_pb2.Kept | None = None

    @property
    def fleet_file(self) -> Path:
        """The path of the fleet file, which the agent reads."""
        return self.folder / "fleet.textproto"

    def write(self, instances: Iterable[Instance]) -> None:
        """Write the fleet file for these instances, and the configuration that they share."""
        (self.folder / "base.json").write_text(json.dumps(self.base))
        fleet = fleet_pb2.Fleet(name="cluster", folder="run", base="base.json")
        for instance in instances:
            host, port = instance.address
            fleet.instance.add(name=instance.name, listen=f"{host}:{port}", registry=instance.discovery)
        if self.dead_letters is not None:
            fleet.kept.CopyFrom(self.dead_letters)
        for part, values in [*FLEET_PARTS.items(), *self.parts.items()]:
            for name, value in values.items():
                setattr(getattr(fleet, part), name, value)
        self.fleet_file.write_text(text_format.MessageToString(fleet))
