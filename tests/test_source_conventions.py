"""Tests that the source follows CONTRIBUTING.md: names, sizes, and no `noqa` comments."""

from __future__ import annotations

import ast
import io
import keyword
import re
import tokenize
from pathlib import Path

import pytest

PACKAGE = Path(__file__).parent.parent / "juniperward"
MODULES = [path for path in sorted(PACKAGE.rglob("*.py")) if not path.name.endswith("_pb2.py")]
MAX_MODULE_LINES = 300
MAX_FUNCTION_LINES = 50
# Words that no identifier may contain; docs/glossary.md has the terms to use instead.
WITHDRAWN_WORDS = {
    "aim", "asked", "custody", "edition", "fate", "fates", "handin", "news", "partner", "pinned", "ramp",
    "room", "sick", "thrown", "told", "trouble", "troubles", "untold", "worth", "yard",
}  # fmt: skip
WITHDRAWN_PAIRS = {
    ("bad", "server"), ("fail", "back"), ("second", "copy"), ("sent", "on"), ("taken", "on"), ("turned", "away"),
}  # fmt: skip
# Protobuf fields of the scenario format, which the modules that read and write it have to use.
PROTOBUF_FIELD_NAMES = {
    "simulation/scenario_generator.py": {"partner"},
    "simulation/scenario_loader.py": {"partner"},
}
WORD = re.compile(r"[A-Z]+(?![a-z])|[A-Z]?[a-z]+|\d+")


def module_id(path: Path) -> str:
    return str(path.relative_to(PACKAGE))


def words(name: str) -> list[str]:
    """Return the words of an identifier in lower case, split at underscores and changes of case."""
    return [word.lower() for part in name.split("_") for word in WORD.findall(part)]


def is_withdrawn(name: str) -> bool:
    found = words(name)
    return bool(WITHDRAWN_WORDS & set(found)) or any(
        pair in WITHDRAWN_PAIRS for pair in zip(found, found[1:], strict=False)
    )


def identifiers(text: str) -> set[str]:
    tokens = tokenize.generate_tokens(io.StringIO(text).readline)
    return {
        token.string
        for token in tokens
        if token.type == tokenize.NAME and not keyword.iskeyword(token.string)
    }


def test_withdrawn_words_are_found_in_any_part_of_a_name() -> None:
    assert is_withdrawn("client_told") and is_withdrawn("TroubleKind") and is_withdrawn("_sent_on_at")
    assert not is_withdrawn("client_answered") and not is_withdrawn("sent_once")


@pytest.mark.parametrize("path", MODULES, ids=module_id)
def test_names_are_the_terms_of_the_field(path: Path) -> None:
    withdrawn = set(filter(is_withdrawn, identifiers(path.read_text())))
    assert withdrawn == PROTOBUF_FIELD_NAMES.get(module_id(path), set())


@pytest.mark.parametrize("path", MODULES, ids=module_id)
def test_modules_and_functions_stay_short(path: Path) -> None:
    text = path.read_text()
    assert len(text.splitlines()) <= MAX_MODULE_LINES
    functions = (node for node in ast.walk(ast.parse(text)) if isinstance(node, ast.FunctionDef))
    lengths = {node.name: (node.end_lineno or node.lineno) - node.lineno + 1 for node in functions}
    assert {name: length for name, length in lengths.items() if length > MAX_FUNCTION_LINES} == {}


@pytest.mark.parametrize("path", MODULES, ids=module_id)
def test_no_line_is_exempt_from_the_linter(path: Path) -> None:
    assert "# noqa" not in path.read_text()
