"""Tests of the configuration: valid values, error messages and reload."""

from __future__ import annotations

import json
import os
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest

from juniperward.forwarder.address import parse_address
from juniperward.forwarder.config import ConfigError, load
from juniperward.forwarder.events import DiscoveryAddressChanged
from juniperward.forwarder.reload import Reloader
from juniperward.forwarder.telemetry import counters
from tests.player import ROOT, SETTINGS

VALID: dict[str, Any] = {
    "name": "n0",
    "listen": "127.0.0.1:9",
    "discovery": "127.0.0.1:10",
    "seed": "8c1f",
    "limits": {"sockets": 100, "disk_mb": 3},
    "known": {"version": 1, "full": True, "servers": []},
    "settings": SETTINGS,
}


class TestConfig:
    @pytest.fixture(autouse=True)
    def set_up(self, tmp_path: Path) -> None:
        self.folder = str(tmp_path)

    def write_config(self, value: Any) -> dict[str, str]:
        path = Path(self.folder) / "config.json"
        path.write_text(value if isinstance(value, str) else json.dumps(value))
        return {"ROUTER_CONFIG": str(path), "ROUTER_STATE": self.folder}

    def test_a_valid_file_is_read_and_the_environment_overrides_it(self) -> None:
        config = load({**self.write_config(VALID), "ROUTER_LISTEN": "127.0.0.2:99"})
        assert (config.listen, config.discovery) == (("127.0.0.2", 99), ("127.0.0.1", 10))
        assert (config.seed, config.journal_max_bytes) == (0x8C1F, 3_000_000)
        assert config.settings.slots == 4

    def test_reload_applies_a_new_discovery_address_and_ignores_an_invalid_file(self) -> None:
        # An incomplete or invalid file must not affect a running forwarder. From the first reload on, the file's
        # address overrides the environment variable.
        environment = {**self.write_config(VALID), "ROUTER_DISCOVERY": "127.0.0.1:10"}
        reloader = Reloader(load(environment), environment)
        assert reloader.reload() is None
        for invalid in (
            "",
            json.dumps(VALID)[:99],
            "[]",
            {**VALID, "discovery": None},
            {**VALID, "seed": "x"},
        ):
            self.write_config(invalid)
            assert reloader.reload() is None
        self.write_config({**VALID, "discovery": "127.0.0.1:11"})
        assert reloader.reload() == DiscoveryAddressChanged(("127.0.0.1", 11))
        Path(environment["ROUTER_CONFIG"]).unlink()
        assert reloader.reload() is None
        self.write_config({**VALID, "limits": {"sockets": 50}})
        assert reloader.reload() == DiscoveryAddressChanged(("127.0.0.1", 10))

    def test_errors_name_the_setting(self, subtests: pytest.Subtests) -> None:
        invalid: tuple[tuple[Any, str], ...] = (
            ("{", "not JSON"),
            ([], "list"),
            ({**VALID, "listen": "nowhere"}, "nowhere"),
            ({k: v for k, v in VALID.items() if k != "settings"}, "settings"),
            ({**VALID, "settings": {**SETTINGS, "Specifics": {"MaxCalls": -1}}}, "Specifics.MaxCalls"),
        )
        for value, message in invalid:
            with subtests.test(message=message), pytest.raises(ConfigError, match=message):
                load(self.write_config(value))
        with pytest.raises(ConfigError, match="no such folder"):
            load({**self.write_config(VALID), "ROUTER_STATE": "/nonesuch"})
        with pytest.raises(ConfigError, match="ROUTER_CONFIG"):
            load({})

    def test_errors_locate_an_invalid_class_or_limit(self, subtests: pytest.Subtests) -> None:
        for key, value, message in (
            ("DeadlineMs", 0, r"Services\[1\]: DeadlineMs"), ("DeadlineMs", "x", r"Services\[1\]"),
            ("Effect", "maybe", r"Services\[1\]: Effect"), ("DeadlineMs", None, r"Services\[1\]"),
            ("WindowMs", -1.0, r"Services\[1\]: WindowMs"),
        ):  # fmt: skip
            services = [SETTINGS["Services"][0], {**SETTINGS["Services"][1], key: value}]
            with subtests.test(key=key), pytest.raises(ConfigError, match=message):
                load(self.write_config({**VALID, "settings": {**SETTINGS, "Services": services}}))
        limits = {**SETTINGS["Limits"], "MaxAttempts": 0}
        with pytest.raises(ConfigError, match="Limits.MaxAttempts"):
            load(self.write_config({**VALID, "settings": {**SETTINGS, "Limits": limits}}))

    def test_settings_of_other_deployments_are_read(self) -> None:
        # One class with a short deadline, and many classes with long deadlines.
        short_deadline = {"Name": "lift", "AimMs": 200.0, "DeadlineMs": 300.0, "Effect": "once", "Worth": 9.0}
        few = {
            **SETTINGS,
            "Services": [short_deadline],
            "Limits": {**SETTINGS["Limits"], "MaxAttempts": 1, "MaxOpen": 1},
        }
        long_deadlines = [
            {
                "Name": f"c{n}",
                "AimMs": 6e4,
                "DeadlineMs": 6e5,
                "Effect": e,
                "WindowMs": 3e5,
                "DedupScope": "zone",
            }
            for n, e in enumerate(("once", "by_key", "repeatable") * 4)
        ]
        many = {**SETTINGS, "Services": long_deadlines, "MembershipMode": "pushed", "Tenants": None,
                "Specifics": {"MaxCalls": 40, "BatchByKind": [500, 1, 50]}}  # fmt: skip
        for settings, class_count, max_deadline_s in ((few, 1, 0.3), (many, 12, 600.0)):
            config = load(self.write_config({**VALID, "settings": settings}))
            assert len(config.settings.classes) == class_count
            assert max(config.names.deadlines_s) == pytest.approx(max_deadline_s, abs=5e-8)

    def test_an_invalid_entry_does_not_invalidate_the_endpoint_list(self) -> None:
        # Discovery repeats an invalid entry with each watch, so it must not reject the whole update.
        entry = {"id": "s-1", "addr": "127.0.0.1:81", "cell": 7, "state": "Ready", "kind": "small-partners"}
        entries = ({**entry, "state": "Odd"}, {**entry, "addr": "x"}, "text", {**entry, "id": "s-2"})
        config = load(self.write_config({**VALID, "known": {"version": 1, "full": True, "servers": entries}}))
        assert [(e.id, e.kind) for e in config.known_endpoints.endpoints] == [("s-2", 1)]

    def test_an_invalid_listed_rate_is_counted_and_treated_as_unlisted(self) -> None:
        # Guards against dropping an endpoint because its rate is not a number.
        entry = {"addr": "127.0.0.1:81", "cell": 7, "state": "Ready", "kind": "small-partners"}
        rates: tuple[Any, ...] = (None, 0, 42.5, "40", -1, "many", [], float("nan"), float("inf"), 10**400)
        servers = [{**entry, "id": f"s-{n}", "weight": rate} for n, rate in enumerate(rates)]
        before = counters().get("listed_rates_invalid", 0)
        config = load(self.write_config({**VALID, "known": {"version": 1, "full": True, "servers": servers}}))
        found = [e.listed_rate_per_s for e in config.known_endpoints.endpoints]
        assert found == [0.0, 0.0, 42.5, 40.0, 0.0, 0.0, 0.0, 0.0, 0.0, 0.0]
        assert counters()["listed_rates_invalid"] - before == 6

    def test_the_count_of_forwarders_defaults_to_one_and_is_validated(
        self, subtests: pytest.Subtests
    ) -> None:
        assert load(self.write_config(VALID)).settings.instances == 1
        for count in (0, -3, "forty", None, True, float("nan")):
            with subtests.test(count=count), pytest.raises(ConfigError, match="Instances: must be above 0"):
                load(self.write_config({**VALID, "settings": {**SETTINGS, "Instances": count}}))

    def test_invalid_addresses_are_rejected(self, subtests: pytest.Subtests) -> None:
        for text in ("", "a", ":1", "a:", "a:0", "a:70000", "a:-1"):
            with subtests.test(text=text), pytest.raises(ValueError):
                parse_address(text)

    def test_the_program_reports_an_error_in_one_line(self) -> None:
        done = subprocess.run(
            [sys.executable, "-O", "-m", "juniperward"],
            cwd=ROOT,
            env={**os.environ, **self.write_config({**VALID, "known": {}})},
            capture_output=True,
            text=True,
            check=False,
        )
        assert (done.returncode, len(done.stderr.splitlines())) == (2, 1)
        assert "'servers' is missing" in done.stderr
