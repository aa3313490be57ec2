"""Tests of a forwarder process's footprint: its imports, its open files, and errors of the command line."""

from __future__ import annotations

import os
import subprocess
import sys
import tempfile
from pathlib import Path

from tests.player import ROOT, Program

OPTIONAL_MODULES = (
    "typer",
    "rich",
    "structlog",
    "msgspec",
    "google",
    "sqlite3",
    "pyrsistent",
    "juniperward.control.server",
    "juniperward.control.codec",
    "juniperward.control.protocol",
    "juniperward.dead_letters.spool",
    "juniperward.dead_letters.spool_files",
    "juniperward.dead_letters.spool_format",
    "juniperward.dead_letters.outcome",
    "juniperward.dead_letters.outcome_log",
    "juniperward.dead_letters.clock",
    "juniperward.dead_letters.dead_letter",
    "juniperward.dead_letters.redrive_rate",
    "juniperward.dead_letters.redrive_rules",
    "juniperward.dead_letters.redrive_safety",
    "juniperward.dead_letters.redrive_settings",
    "juniperward.dead_letters.redriver",
)


class TestProcessFootprint:
    def test_a_forwarder_imports_only_the_standard_library(self) -> None:
        # -S hides the installed packages.
        find_imported = f"print([m for m in {OPTIONAL_MODULES!r} if m in sys.modules])"
        code = f"import juniperward.forwarder.start, sys; {find_imported}"
        found = subprocess.run(
            [sys.executable, "-S", "-c", code],
            cwd=ROOT, env={"PATH": os.environ["PATH"]}, capture_output=True, text=True,
        )  # fmt: skip
        assert (found.stdout.strip(), found.stderr) == ("[]", "")

    def test_without_optional_features_only_the_journal_and_its_folder_are_open(self) -> None:
        # Without `control` and `kept` in the configuration there is no Unix socket and no spool. The state folder has
        # the journal and the clock reference, which does not stay open.
        with tempfile.TemporaryDirectory() as name:
            program = Program(Path(name))
            program.start()
            assert program.process is not None
            folder = Path(f"/proc/{program.process.pid}/fd")
            open_files = [str(path.readlink()) for path in folder.iterdir()]
            state = sorted(p.name for p in program.state.iterdir())
            program.close()
        forwarder_files = [f for f in open_files if name in f]
        assert sorted(Path(f).name for f in forwarder_files) == ["journal", "state"]
        assert state == ["clock", "journal"]

    def test_an_unknown_argument_is_reported_without_a_traceback(self) -> None:
        for words in (
            ["dance"],
            ["fleet", "status", "--colour"],
            ["fleet", "status", "-a", "/none.textproto"],
        ):
            found = subprocess.run(
                [sys.executable, "-m", "juniperward", *words], cwd=ROOT, capture_output=True, text=True
            )
            assert found.returncode == 2, found.stderr
            assert "Traceback" not in found.stderr
        found = subprocess.run(
            [sys.executable, "-m", "juniperward", "fleet", "status", "-a", "/none.sock"],
            cwd=ROOT, capture_output=True, text=True,
        )  # fmt: skip
        assert found.returncode == 3

    def test_no_file_exceeds_its_size_limit(self) -> None:
        sizes = {
            str(p.relative_to(ROOT)): len(p.read_text().splitlines())
            for p in (ROOT / "juniperward").rglob("*.py")
            if not p.name.endswith("_pb2.py")
        }
        assert {n: s for n, s in sizes.items() if s > 600} == {}
