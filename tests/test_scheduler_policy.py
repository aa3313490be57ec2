"""Conventions of the scheduler's source: sizes, the `policy` list of the deploy file, no clock and no I/O."""

from __future__ import annotations

import ast
import tomllib
from graphlib import TopologicalSorter
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
SCHEDULER = ROOT / "juniperward" / "scheduler"
MODULES = sorted(SCHEDULER.glob("*.py"))
MAX_MODULE_LINES = 300
MAX_FUNCTION_LINES = 50
MAX_LINE_LENGTH = 110
DECISIONS_WITHOUT_TUNED_VALUES = {"message_order.py"}
ALLOWED_IMPORTS = {
    "__future__", "collections", "collections.abc", "dataclasses", "enum", "heapq", "math", "random", "typing",
}  # fmt: skip


def policy_modules() -> list[Path]:
    """Return the modules that make decisions, as the deploy file lists them under `policy`."""
    with (ROOT / "deploy" / "balancer.toml").open("rb") as file:
        return [ROOT / name for name in tomllib.load(file)["policy"]]


@pytest.mark.parametrize("path", MODULES, ids=lambda path: path.stem)
def test_a_scheduler_module_and_its_functions_stay_short(path: Path) -> None:
    text = path.read_text()
    assert len(text.splitlines()) <= MAX_MODULE_LINES
    functions = [
        node for node in ast.walk(ast.parse(text)) if isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef)
    ]
    lengths = {node.name: (node.end_lineno or 0) - node.lineno + 1 for node in functions}
    assert {name: length for name, length in lengths.items() if length > MAX_FUNCTION_LINES} == {}


@pytest.mark.parametrize("path", policy_modules(), ids=lambda path: path.stem)
def test_no_line_of_a_policy_module_is_long(path: Path) -> None:
    assert max(len(line) for line in path.read_text().splitlines()) <= MAX_LINE_LENGTH


def test_the_policy_lists_every_module_that_decides() -> None:
    texts = {path: path.read_text() for path in MODULES}
    parts = {path for path, text in texts.items() if "(SchedulerPart)" in text}
    tuned = {path for path, text in texts.items() if "import tuning" in text}
    others = {SCHEDULER / name for name in DECISIONS_WITHOUT_TUNED_VALUES | {"tuning.py"}}
    assert parts | tuned | others == set(policy_modules())


def test_all_deploy_files_list_the_same_policy() -> None:
    with (ROOT / "deploy" / "trace.toml").open("rb") as file:
        assert [ROOT / name for name in tomllib.load(file)["policy"]] == policy_modules()


def test_the_policy_names_its_interface_first() -> None:
    first_line = policy_modules()[0].read_text().splitlines()[0]
    for name in ("events.py", "actions.py"):
        assert name in first_line
        assert (SCHEDULER / name).is_file()


@pytest.mark.parametrize("path", MODULES, ids=lambda path: path.stem)
def test_the_scheduler_imports_no_clock_and_no_io(path: Path) -> None:
    tree = ast.parse(path.read_text())
    names = {alias.name for node in ast.walk(tree) if isinstance(node, ast.Import) for alias in node.names}
    names |= {node.module or "" for node in ast.walk(tree) if isinstance(node, ast.ImportFrom)}
    others = {name for name in names if not name.startswith("juniperward.scheduler")}
    assert others <= ALLOWED_IMPORTS


@pytest.mark.parametrize("path", policy_modules(), ids=lambda path: path.stem)
def test_the_docstring_of_a_policy_module_begins_with_a_sentence(path: Path) -> None:
    docstring = ast.get_docstring(ast.parse(path.read_text()))
    assert docstring and docstring.splitlines()[0].endswith(".")


def imported_modules(path: Path, known: set[str]) -> set[str]:
    """The modules of the project that a module imports, also those under TYPE_CHECKING."""
    found: set[str] = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            found |= {alias.name for alias in node.names} & known
        elif isinstance(node, ast.ImportFrom):
            assert node.level == 0, f"{path}: relative import"
            for alias in node.names:
                submodule = f"{node.module}.{alias.name}"
                found |= {submodule if submodule in known else node.module or ""} & known
    return found


def test_imports_have_no_cycles() -> None:
    paths = {
        ".".join(path.relative_to(ROOT).with_suffix("").parts).removesuffix(".__init__"): path
        for path in (ROOT / "juniperward").rglob("*.py")
    }
    imports = {name: imported_modules(path, set(paths)) for name, path in paths.items()}
    assert len(imports) > 100
    TopologicalSorter(imports).prepare()  # raises CycleError with the modules of a cycle
