"""A bad configuration ends the start with one plain line and exit code 2."""

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

GOOD: dict[str, Any] = {
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

    def given(self, value: Any) -> dict[str, str]:
        path = Path(self.folder) / "config.json"
        path.write_text(value if isinstance(value, str) else json.dumps(value))
        return {"ROUTER_CONFIG": str(path), "ROUTER_STATE": self.folder}

    def test_a_valid_file_is_read_and_the_environment_overrides_it(self) -> None:
        config = load({**self.given(GOOD), "ROUTER_LISTEN": "127.0.0.2:99"})
        assert (config.listen, config.discovery) == (("127.0.0.2", 99), ("127.0.0.1", 10))
        assert (config.seed, config.journal_max_bytes) == (0x8C1F, 3_000_000)
        assert config.settings.slots == 4

    def test_a_new_file_changes_the_discovery_address_and_an_invalid_one_nothing(self) -> None:
        # Guards a running forwarder against a file that is half written or wrong; the file's address counts
        # over the environment's from the first SIGHUP on.
        environment = {**self.given(GOOD), "ROUTER_DISCOVERY": "127.0.0.1:10"}
        reloader = Reloader(load(environment), environment)
        assert reloader.reload() is None
        for bad in ("", json.dumps(GOOD)[:99], "[]", {**GOOD, "discovery": None}, {**GOOD, "seed": "x"}):
            self.given(bad)
            assert reloader.reload() is None
        self.given({**GOOD, "discovery": "127.0.0.1:11"})
        assert reloader.reload() == DiscoveryAddressChanged(("127.0.0.1", 11))
        Path(environment["ROUTER_CONFIG"]).unlink()
        assert reloader.reload() is None
        self.given({**GOOD, "limits": {"sockets": 50}})
        assert reloader.reload() == DiscoveryAddressChanged(("127.0.0.1", 10))

    def test_errors_name_the_setting(self, subtests: pytest.Subtests) -> None:
        bad: tuple[tuple[Any, str], ...] = (
            ("{", "not JSON"),
            ([], "list"),
            ({**GOOD, "listen": "nowhere"}, "nowhere"),
            ({k: v for k, v in GOOD.items() if k != "settings"}, "settings"),
            ({**GOOD, "settings": {**SETTINGS, "Specifics": {"MaxCalls": -1}}}, "Specifics.MaxCalls"),
        )
        for value, word in bad:
            with subtests.test(word=word), pytest.raises(ConfigError, match=word):
                load(self.given(value))
        with pytest.raises(ConfigError, match="no such folder"):
            load({**self.given(GOOD), "ROUTER_STATE": "/nonesuch"})
        with pytest.raises(ConfigError, match="ROUTER_CONFIG"):
            load({})

    def test_an_invalid_class_or_limit_ends_the_start_and_is_located(self, subtests: pytest.Subtests) -> None:
        for key, value, word in (
            ("DeadlineMs", 0, r"Services\[1\]: DeadlineMs"), ("DeadlineMs", "x", r"Services\[1\]"),
            ("Effect", "maybe", r"Services\[1\]: Effect"), ("DeadlineMs", None, r"Services\[1\]"),
            ("WindowMs", -1.0, r"Services\[1\]: WindowMs"),
        ):  # fmt: skip
            services = [SETTINGS["Services"][0], {**SETTINGS["Services"][1], key: value}]
            with subtests.test(key=key), pytest.raises(ConfigError, match=word):
                load(self.given({**GOOD, "settings": {**SETTINGS, "Services": services}}))
        limits = {**SETTINGS["Limits"], "MaxAttempts": 0}
        with pytest.raises(ConfigError, match="Limits.MaxAttempts"):
            load(self.given({**GOOD, "settings": {**SETTINGS, "Limits": limits}}))

    def test_settings_of_other_deployments_are_read(self) -> None:
        # Small copies of what deploy/sites/ stands for: short and few, and many, long and pushed.
        short = {"Name": "lift", "AimMs": 200.0, "DeadlineMs": 300.0, "Effect": "once", "Worth": 9.0}
        few = {
            **SETTINGS,
            "Services": [short],
            "Limits": {**SETTINGS["Limits"], "MaxAttempts": 1, "MaxOpen": 1},
        }
        long = [
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
        many = {**SETTINGS, "Services": long, "MembershipMode": "pushed", "Tenants": None,
                "Specifics": {"MaxCalls": 40, "BatchByKind": [500, 1, 50]}}  # fmt: skip
        for given, classes, longest in ((few, 1, 0.3), (many, 12, 600.0)):
            config = load(self.given({**GOOD, "settings": given}))
            assert len(config.settings.classes) == classes
            assert max(config.names.deadlines_s) == pytest.approx(longest, abs=5e-8)

    def test_one_invalid_entry_does_not_invalidate_the_list(self) -> None:
        # Guards against news that fail for good: the same entry comes again with every watch.
        entry = {"id": "s-1", "addr": "127.0.0.1:81", "cell": 7, "state": "Ready", "kind": "small-partners"}
        odd = ({**entry, "state": "Odd"}, {**entry, "addr": "x"}, "text", {**entry, "id": "s-2"})
        config = load(self.given({**GOOD, "known": {"version": 1, "full": True, "servers": odd}}))
        assert [(e.id, e.kind) for e in config.known_endpoints.endpoints] == [("s-2", 1)]

    def test_an_invalid_listed_rate_is_none_and_counted(self) -> None:
        # Guards a worker against its own rate: one that was no number cost it the whole entry.
        entry = {"addr": "127.0.0.1:81", "cell": 7, "state": "Ready", "kind": "small-partners"}
        rates: tuple[Any, ...] = (None, 0, 42.5, "40", -1, "many", [], float("nan"), float("inf"), 10**400)
        servers = [{**entry, "id": f"s-{n}", "weight": rate} for n, rate in enumerate(rates)]
        before = counters().get("listed_rates_invalid", 0)
        config = load(self.given({**GOOD, "known": {"version": 1, "full": True, "servers": servers}}))
        found = [e.listed_rate_per_s for e in config.known_endpoints.endpoints]
        assert found == [0.0, 0.0, 42.5, 40.0, 0.0, 0.0, 0.0, 0.0, 0.0, 0.0]
        assert counters()["listed_rates_invalid"] - before == 6

    def test_the_count_of_forwarders_defaults_to_one_and_is_validated(
        self, subtests: pytest.Subtests
    ) -> None:
        assert load(self.given(GOOD)).settings.instances == 1
        for count in (0, -3, "forty", None, True, float("nan")):
            with subtests.test(count=count), pytest.raises(ConfigError, match="Instances: must be above 0"):
                load(self.given({**GOOD, "settings": {**SETTINGS, "Instances": count}}))

    def test_addresses(self, subtests: pytest.Subtests) -> None:
        for text in ("", "a", ":1", "a:", "a:0", "a:70000", "a:-1"):
            with subtests.test(text=text), pytest.raises(ValueError):
                parse_address(text)

    def test_the_program_reports_an_error_in_one_line(self) -> None:
        done = subprocess.run(
            [sys.executable, "-O", "-m", "juniperward"],
            cwd=ROOT,
            env={**os.environ, **self.given({**GOOD, "known": {}})},
            capture_output=True,
            text=True,
            check=False,
        )
        assert (done.returncode, len(done.stderr.splitlines())) == (2, 1)
        assert "'servers' is missing" in done.stderr
