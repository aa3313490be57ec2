"""Tests that per-file exceptions in the linter's configuration are needed, and that their number does not grow."""

from __future__ import annotations

import json
import subprocess
import sys
import tomllib
from collections import defaultdict
from pathlib import Path

ROOT = Path(__file__).parent.parent
MAX_EXEMPT_MODULES = 3


def ignored_rules() -> dict[str, set[str]]:
    """Return the rules that pyproject.toml ignores in single modules, by path."""
    with (ROOT / "pyproject.toml").open("rb") as file:
        ignores = tomllib.load(file)["tool"]["ruff"]["lint"]["per-file-ignores"]
    return {path: set(codes) for path, codes in ignores.items() if path != "tests/**"}


def violated_rules() -> dict[str, set[str]]:
    """Return the rules that each module violates, by path, without the docstring rules that tests are exempt from."""
    ruff = Path(sys.executable).with_name("ruff")
    command = [str(ruff), "check", ".", "--output-format", "json"]
    command += ["--config", 'lint.per-file-ignores={"tests/**"=["D101","D102","D103","D105","D107"]}']
    output = subprocess.run(command, cwd=ROOT, capture_output=True, text=True).stdout
    violated: dict[str, set[str]] = defaultdict(set)
    for violation in json.loads(output):
        violated[str(Path(violation["filename"]).relative_to(ROOT))].add(violation["code"])
    return violated


def test_the_list_of_unfinished_modules_is_what_the_linter_finds() -> None:
    assert ignored_rules() == violated_rules()


def test_the_list_of_unfinished_modules_only_shrinks() -> None:
    assert len(ignored_rules()) <= MAX_EXEMPT_MODULES
