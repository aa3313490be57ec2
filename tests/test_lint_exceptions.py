"""The linter's list of unfinished modules names what is unfinished and nothing else."""

from __future__ import annotations

import json
import subprocess
import sys
import tomllib
from collections import defaultdict
from pathlib import Path

ROOT = Path(__file__).parent.parent
MOST_UNFINISHED = 3


def listed() -> dict[str, set[str]]:
    """The rules that each module is let off, by its path."""
    with (ROOT / "pyproject.toml").open("rb") as file:
        ignores = tomllib.load(file)["tool"]["ruff"]["lint"]["per-file-ignores"]
    return {path: set(codes) for path, codes in ignores.items() if path != "tests/**"}


def found() -> dict[str, set[str]]:
    """The rules that each module breaks, but for those that no test module has to keep."""
    ruff = Path(sys.executable).with_name("ruff")
    command = [str(ruff), "check", ".", "--output-format", "json"]
    command += ["--config", 'lint.per-file-ignores={"tests/**"=["D101","D102","D103","D105","D107"]}']
    output = subprocess.run(command, cwd=ROOT, capture_output=True, text=True).stdout
    broken: dict[str, set[str]] = defaultdict(set)
    for violation in json.loads(output):
        broken[str(Path(violation["filename"]).relative_to(ROOT))].add(violation["code"])
    return broken


def test_the_list_of_unfinished_modules_is_what_the_linter_finds() -> None:
    assert listed() == found()


def test_the_list_of_unfinished_modules_only_shrinks() -> None:
    assert len(listed()) <= MOST_UNFINISHED
