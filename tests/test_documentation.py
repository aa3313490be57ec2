"""Tests that the links of the documentation resolve, and that the files, methods and tests it names exist."""

from __future__ import annotations

import ast
import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
PACKAGE = ROOT / "juniperward"
# The changelog, the roadmap and the measurements may name code that has since been removed. The roadmap's links are
# checked all the same.
PAGES = [
    ROOT / "README.md",
    ROOT / "CONTRIBUTING.md",
    *sorted((ROOT / "docs").glob("*.md")),
    *sorted((ROOT / "docs" / "design").glob("*.md")),
]
PAGES_ON_CURRENT_CODE = [page for page in PAGES if page.name != "ROADMAP.md"]
CODE_SPAN = re.compile(r"`([^`\n]+)`")
LINK = re.compile(r"\]\(([^)#\s]+)(?:#[^)]*)?\)")
PYTHON_FILE = re.compile(r"[\w./]+\.py\b")
METHOD = re.compile(r"\b([A-Z][a-z]\w+)\.([a-z_]\w*)")
TEST_FILE = re.compile(r"test_\w+")


def page_id(page: Path) -> str:
    return str(page.relative_to(ROOT))


def defined_names() -> tuple[dict[str, set[str]], set[str]]:
    """Return the members of each class, and the names of all functions, in the package and the tests."""
    classes: dict[str, set[str]] = {}
    functions: set[str] = set()
    for path in [*PACKAGE.rglob("*.py"), *(ROOT / "tests").rglob("*.py")]:
        for node in ast.walk(ast.parse(path.read_text())):
            match node:
                case ast.ClassDef(name=name, body=body):
                    members = classes.setdefault(name, set())
                    members |= {item.name for item in body if isinstance(item, ast.FunctionDef)}
                    members |= {
                        target_name(item) for item in body if isinstance(item, ast.AnnAssign | ast.Assign)
                    }
                    members |= attributes_of_self(node)
                case ast.FunctionDef(name=name):
                    functions.add(name)
    return classes, functions


def target_name(assignment: ast.AnnAssign | ast.Assign) -> str:
    target = assignment.target if isinstance(assignment, ast.AnnAssign) else assignment.targets[0]
    return target.id if isinstance(target, ast.Name) else ""


def attributes_of_self(node: ast.ClassDef) -> set[str]:
    """Return the attributes of `self` that the methods of a class use."""
    return {
        item.attr
        for item in ast.walk(node)
        if isinstance(item, ast.Attribute) and isinstance(item.value, ast.Name) and item.value.id == "self"
    }


CLASSES, FUNCTIONS = defined_names()


@pytest.mark.parametrize("page", PAGES, ids=page_id)
def test_links_of_a_page_lead_somewhere(page: Path) -> None:
    targets = [target for target in LINK.findall(page.read_text()) if "://" not in target]
    assert [target for target in targets if not (page.parent / target).exists()] == []


@pytest.mark.parametrize("page", PAGES_ON_CURRENT_CODE, ids=page_id)
def test_files_that_a_page_names_exist(page: Path) -> None:
    named = {file for code in CODE_SPAN.findall(page.read_text()) for file in PYTHON_FILE.findall(code)}
    files = [f"/{path.relative_to(ROOT)}" for path in PACKAGE.rglob("*.py")]
    files += [f"/{path.relative_to(ROOT)}" for path in (ROOT / "tests").glob("*.py")]
    assert [name for name in sorted(named) if not any(file.endswith(f"/{name}") for file in files)] == []


@pytest.mark.parametrize("page", PAGES_ON_CURRENT_CODE, ids=page_id)
def test_methods_that_a_page_names_exist(page: Path) -> None:
    named = {found for code in CODE_SPAN.findall(page.read_text()) for found in METHOD.findall(code)}
    unknown = [f"{name}.{member}" for name, member in sorted(named) if member not in CLASSES.get(name, ())]
    assert unknown == []


@pytest.mark.parametrize("page", PAGES_ON_CURRENT_CODE, ids=page_id)
def test_tests_that_a_page_names_exist(page: Path) -> None:
    known = {path.stem for path in (ROOT / "tests").glob("*.py")} | FUNCTIONS
    named = {test for code in CODE_SPAN.findall(page.read_text()) for test in TEST_FILE.findall(code)}
    assert sorted(named - known) == []
