"""Tests that `.ci/known_red.py` tolerates failures of the tests in KNOWN-RED.txt and no others."""

from __future__ import annotations

import os
import shutil
import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
PROGRAM = ROOT / ".ci" / "known_red.py"
TIMEOUT_S = 60.0
LISTED_TEST = "tests/test_tree.py::test_red"
TREE = """
import unittest
import pytest

def test_green():
    pass

def test_red():
    assert False, "for a known cause"

@pytest.mark.parametrize("text", ["a, b [c]"])
def test_of_case(text):
    assert text == "another"

class TreeTest(unittest.TestCase):
    def test_red_too(self):
        for number in range(3):
            with self.subTest(number):
                self.assertEqual(number, 1)

@pytest.mark.skip
def test_left_out():
    assert False

@pytest.mark.xfail(strict=False)
def test_marked_by_itself():
    pass
"""
DESELECT_OTHER_TESTS = "-k 'not test_of_case and not test_red_too and not test_marked_by_itself'"


def clean_environment() -> dict[str, str]:
    """Return this process's environment without the variables of pytest and of an outer run of known_red.py."""
    return {name: text for name, text in os.environ.items() if not name.startswith(("PYTEST", "KNOWN_RED"))}


class TestKnownRed:
    @pytest.fixture(autouse=True)
    def set_up(self, tmp_path: Path) -> None:
        self.folder = tmp_path
        (self.folder / "tests").mkdir()
        (self.folder / "tests" / "test_tree.py").write_text(TREE)
        (self.folder / "pytest.ini").write_text("[pytest]\n")

    def run_tree(self, listed: str | None, options: str = "", command: str | None = None) -> tuple[int, str]:
        """Run known_red.py over TREE with a list (None: no file); return its exit code and output."""
        if listed is not None:
            (self.folder / "KNOWN-RED.txt").write_text(listed, encoding="utf-8")
        if command is None:
            command = f"{sys.executable} -m pytest -q -p no:cacheprovider {options}"
        done = subprocess.run(
            [sys.executable, str(PROGRAM), str(self.folder), command],
            env=clean_environment(),
            stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True, timeout=TIMEOUT_S, check=False,
        )  # fmt: skip
        return done.returncode, done.stdout

    def test_only_the_listed_reds_are_passed_over_and_they_are_printed(self) -> None:
        listed = [
            f"{LISTED_TEST}, the clock, read twice, #7",
            "tests/test_tree.py::test_of_case[a, b [c]], a cause, docs/questions.md",
            "tests/test_tree.py::TreeTest::test_red_too, another cause, #9",
        ]
        code, output = self.run_tree("\n".join(listed) + "\n\n")
        assert code == 0, output
        assert f"known red: {LISTED_TEST}: the clock, read twice (#7)" in output
        assert "known red: tests/test_tree.py::test_of_case[a, b [c]]: a cause (docs/questions.md)" in output
        assert "1 skipped" in output
        assert " failed" not in output

    def test_another_red_fails_the_run(self) -> None:
        code, output = self.run_tree(f"{LISTED_TEST}, a cause, #7\n", "-k 'not test_of_case'")
        assert code != 0, output
        assert "2 failed" in output

    def test_a_listed_test_that_passes_fails_the_run(self, subtests: pytest.Subtests) -> None:
        # A test with a non-strict xfail mark that passes has not failed.
        for test in ("test_green", "test_marked_by_itself"):
            with subtests.test(test=test):
                code, output = self.run_tree(f"tests/test_tree.py::{test}, a cause, #7\n", f"-k {test}")
                assert code != 0, output
                assert f"tests/test_tree.py::{test} was not seen to fail" in output

    def test_a_listed_test_that_is_not_there_or_not_run_fails_the_run(
        self, subtests: pytest.Subtests
    ) -> None:
        cases = {
            "tests/test_tree.py::test_of_no_name": DESELECT_OTHER_TESTS + " --deselect " + LISTED_TEST,
            LISTED_TEST: "-k test_green",
            "tests/test_tree.py::test_left_out": "-k 'test_green or test_left_out'",
            "tests/test_tree.py::TreeTest": "-k test_green",
        }
        for test, options in cases.items():
            with subtests.test(test=test):
                code, output = self.run_tree(f"{test}, a cause, #7\n", options)
                assert code == 1, output
                assert f"{test} was not seen to fail" in output

    def test_a_command_that_runs_no_pytest_leaves_the_listed_test_unrun(self) -> None:
        code, output = self.run_tree(f"{LISTED_TEST}, a cause, #7\n", command="true")
        assert code == 1, output
        assert f"{LISTED_TEST} was not seen to fail" in output

    def test_a_list_that_cannot_be_read_is_an_error_that_names_the_line(
        self, subtests: pytest.Subtests
    ) -> None:
        four = "".join(f"tests/test_tree.py::test_{n}, a cause, #7\n" for n in range(4))
        cases = {
            f"{LISTED_TEST}, a cause, #7\n{LISTED_TEST}, a cause\n": "line 2: not of the form",
            "a sentence, a cause, #7\n": "line 1: not of the form",
            f"\n{LISTED_TEST}, , #7\n": "line 2: not of the form",
            f"{LISTED_TEST}, a cause, #7\n{LISTED_TEST}, the same again, #8\n": (
                f"line 2: {LISTED_TEST} is listed twice"
            ),
            four: "line 4: more than 3",
        }
        for listed, message in cases.items():
            with subtests.test(message=message):
                code, output = self.run_tree(listed, command="true")
                assert code == 2, output
                assert f"KNOWN-RED.txt: {message}" in output

    def test_without_a_list_the_command_runs_as_it_is(self, subtests: pytest.Subtests) -> None:
        for listed in (None, "", "\n"):
            with subtests.test(listed=listed):
                code, output = self.run_tree(listed, command="echo plugins=${PYTEST_PLUGINS:-none}; exit 3")
                assert (code, output) == (3, "plugins=none\n")

    def test_ci_runs_the_command_of_the_readme_through_it(self, subtests: pytest.Subtests) -> None:
        # Runs a copy of .ci/run in a temporary tree whose `make check` does nothing.
        shutil.copytree(ROOT / ".ci", self.folder / ".ci", ignore=shutil.ignore_patterns("__pycache__"))
        (self.folder / "Makefile").write_text("check:\n\t@true\n")
        command = f"{sys.executable} -m pytest -q -p no:cacheprovider -k 'test_red and not test_red_too'"
        (self.folder / "README.md").write_text(f"<!-- test command -->\n```sh\n{command}\n```\n")
        for listed, good in (("", False), (f"{LISTED_TEST}, a cause, #7\n", True)):
            with subtests.test(listed=listed):
                (self.folder / "KNOWN-RED.txt").write_text(listed)
                done = subprocess.run(
                    ["bash", str(self.folder / ".ci" / "run")], env=clean_environment(),
                    stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True, timeout=TIMEOUT_S, check=False,
                )  # fmt: skip
                assert (done.returncode == 0) == good, done.stdout
                assert (f"known red: {LISTED_TEST}" in done.stdout) == good, done.stdout
