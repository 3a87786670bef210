"""The list of known failures (KNOWN-RED.txt) can be parsed, and every test that it names exists."""

from __future__ import annotations

import importlib.util
import sys
from pathlib import Path
from types import ModuleType

import pytest

ROOT = Path(__file__).parent.parent


def _load_known_red() -> ModuleType:
    spec = importlib.util.spec_from_file_location("known_red", ROOT / ".ci" / "known_red.py")
    assert spec is not None
    assert spec.loader is not None
    module = importlib.util.module_from_spec(spec)
    sys.modules["known_red"] = module  # `dataclass` looks up the module of its class there
    spec.loader.exec_module(module)
    return module


known_red = _load_known_red()
ENTRY = "tests/test_a.py::test_b | 3 | fails 2 of 9 | not known | 56"


def test_each_entry_names_an_existing_test() -> None:
    path = ROOT / "KNOWN-RED.txt"
    for entry in known_red.parse_entries(path.read_text()) if path.exists() else []:
        if entry.is_test:
            file, _, name = entry.target.partition("::")
            assert f"def {name.partition('[')[0]}(" in (ROOT / file).read_text()


def test_tests_are_deselected_and_commands_are_not() -> None:
    entries = known_red.parse_entries(f"{ENTRY}\n\npython -m benchmarks.soak | 4 | lost 1 | not known | 56\n")
    assert known_red.pytest_options(entries) == ["--deselect=tests/test_a.py::test_b"]
    assert known_red.run_entries(entries[1:], []) == [
        "known to fail, not run: python -m benchmarks.soak (seed 4): lost 1; cause: not known; issue 56"
    ]


@pytest.mark.parametrize(
    "line", ["tests/test_a.py::test_b", ENTRY.replace("56", "soon"), ENTRY.replace("3", "")]
)
def test_invalid_line_raises_bad_entry_error(line: str) -> None:
    with pytest.raises(known_red.BadEntryError):
        known_red.parse_entries(line)


def test_listed_test_that_passes_is_reported() -> None:
    """Otherwise an entry would stay on the list after its failure is fixed."""
    passing = f"{Path(__file__).relative_to(ROOT)}::test_tests_are_deselected_and_commands_are_not"
    entries = known_red.parse_entries(ENTRY.replace("tests/test_a.py::test_b", passing) + "\n" + ENTRY)
    lines = known_red.run_entries(entries, ["-p", "no:cacheprovider"])
    assert [line.partition(",")[0] for line in lines] == ["PASSES", "fails"]
