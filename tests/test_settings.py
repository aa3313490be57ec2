"""Settings files: defaults, saved versions, and the file, line and field of each fault."""

from __future__ import annotations

import re
import subprocess
import sys
from pathlib import Path

import pytest
from google.protobuf import text_format

from juniperward.settings import fleet_pb2
from juniperward.settings.configuration_versions import ConfigurationVersions, version_of
from juniperward.settings.load import FleetSettings, SettingsError, format_settings, load

ROOT = Path(__file__).parent.parent
GOOD = """# a comment
name: "cluster"
base: "base.json"
registry: "127.0.0.1:8500"
instance { name: "n1" listen: "127.0.0.1:8081" }
instance {
  name: "n2"
  listen: "127.0.0.1:8082"
}
roll {
  at_once: 1
  floor: 1
}
"""


class TestSettings:
    @pytest.fixture(autouse=True)
    def set_up(self, tmp_path: Path) -> None:
        self.folder = tmp_path
        (self.folder / "base.json").write_text('{"settings": {}}')

    def load(self, text: str, name: str = "f.textproto") -> FleetSettings:
        file = self.folder / name
        file.write_text(text)
        return load(file)

    def assert_fault(self, text: str, line: int, field: str, pattern: str) -> None:
        with pytest.raises(SettingsError) as caught:
            self.load(text)
        places = [(fault.line, fault.field) for fault in caught.value.faults]
        assert (line, field) in places, str(caught.value)
        assert re.search(pattern, str(caught.value))

    def test_the_example_is_valid(self) -> None:
        settings = load(ROOT / "deploy" / "fleet.textproto")
        assert [instance.name for instance in settings.instances] == ["n1", "n2", "n3"]
        assert (settings.roll.min_ready, settings.roll.batch_size) == (2, 1)

    def test_a_valid_file_gets_its_defaults(self) -> None:
        settings = self.load(GOOD.replace("  floor: 1\n", ""))
        assert settings.roll.min_ready == 1  # all instances but one
        assert settings.folder == self.folder.resolve() / "f.run"
        assert settings.instances[0].config["control"] == str(settings.folder / "run" / "n1")
        formatted = text_format.Parse(format_settings(settings), fleet_pb2.Fleet())
        assert (formatted.roll.drain, formatted.instance[1].name) == (10.0, "n2")

    def test_faults_name_their_line_and_field(self) -> None:
        self.assert_fault(
            GOOD.replace('"n2"', '"n1"'), 7, "instance[1].name", "n1 is already used by instance n1"
        )
        self.assert_fault(
            GOOD.replace("8082", "8081"),
            8,
            "instance[1].listen",
            "127.0.0.1:8081 is already used by instance n1",
        )
        self.assert_fault(GOOD.replace("8082", "x"), 8, "instance[1].listen", "host:port")
        self.assert_fault(GOOD.replace('"n2"', '"n 2"'), 7, "instance[1].name", "letters, digits")
        self.assert_fault(GOOD.replace("floor: 1", "floor: 2"), 12, "roll.floor", "no roll can begin")
        self.assert_fault(GOOD.replace("at_once: 1", "at_once: 0"), 11, "roll.at_once", "above 0")
        self.assert_fault(GOOD.replace("floor: 1", "soak_share: 1.5"), 12, "roll.soak_share", "from 0 to 1")
        self.assert_fault(GOOD.replace("floor: 1", "soak: -1"), 12, "roll.soak", "0 or more, not -1")
        self.assert_fault(GOOD.replace("base.json", "none.json"), 3, "base", "No such file")
        self.assert_fault(
            GOOD.replace('registry: "127.0.0.1:8500"\n', ""), 4, "instance[0].registry", "host:port"
        )
        self.assert_fault('name: "x"', 0, "instance", "at least one instance")
        long_path = GOOD.replace("base: ", f'folder: "{"f" * 120}" base: ')
        self.assert_fault(long_path, 3, "folder", "Unix socket's path")

    def test_syntax_and_unknown_fields_name_their_line(self) -> None:
        self.assert_fault(GOOD.replace("  floor", "  flor"), 12, "", 'no field named "flor"')
        self.assert_fault(GOOD.replace("at_once: 1", "at_once: many"), 11, "", "integer")
        self.assert_fault(GOOD + "}", 14, "", "f.textproto:14")
        self.assert_fault(GOOD.replace("base:", 'base: "a" base:'), 3, "", "base")

    def test_all_errors_are_reported_at_once(self) -> None:
        with pytest.raises(SettingsError) as caught:
            self.load(GOOD.replace("8082", "x").replace('"n2"', '"?"').replace("floor: 1", "floor: 9"))
        assert len(caught.value.faults) == 3

    def test_an_unreadable_file_is_reported(self) -> None:
        with pytest.raises(SettingsError, match="No such file"):
            load(self.folder / "none")
        (self.folder / "bad").write_bytes(b"\xff\xfe")
        with pytest.raises(SettingsError):
            load(self.folder / "bad")

    def test_configuration_versions_are_retained_and_pruned(self) -> None:
        versions = ConfigurationVersions(self.folder / "e")
        first = versions.save(self.load(GOOD), set())
        assert first == version_of(self.load(GOOD))
        assert versions.read(first, "n2")["listen"] == "127.0.0.1:8082"
        names = [first]
        for port in range(9000, 9012):
            names.append(versions.save(self.load(GOOD.replace("8082", str(port))), {first}))
        retained = {path.name for path in (self.folder / "e").iterdir()}
        assert first in retained  # in use
        assert names[-1] in retained
        assert len(retained) < 11
        with pytest.raises(OSError):
            versions.read(first, "n9")

    def test_generated_code_is_not_stale(self) -> None:
        for package, name in (("settings", "fleet"), ("simulation", "scenario")):
            here = ROOT / "juniperward" / package
            subprocess.run(
                [sys.executable, "-m", "grpc_tools.protoc", f"-I{here}", f"--python_out={self.folder}",
                 f"--pyi_out={self.folder}", f"{name}.proto"], check=True,
            )  # fmt: skip
            for file in (f"{name}_pb2.py", f"{name}_pb2.pyi"):
                assert (self.folder / file).read_text() == (here / file).read_text(), f"{file} is stale"
