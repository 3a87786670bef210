"""Each broken configuration is refused for its reason, at its place, and for nothing else."""

from __future__ import annotations

from pathlib import Path

import pytest

from tests.operator.cases import BASE, Case, cases
from whinrouter.operator.findings import Finding
from whinrouter.operator.host import check_host, configurations

CASES = cases()


def findings(folder: Path) -> list[Finding]:
    loads, wrong = configurations(folder)
    return sorted({*wrong, *check_host(loads)})


@pytest.mark.parametrize("case", CASES, ids=[case.title for case in CASES])
def test_a_broken_configuration_is_refused_for_its_reason(case: Case, tmp_path: Path) -> None:
    case.lay(tmp_path)
    found = findings(tmp_path)
    shown = [f"{one.place} {one.key or '-'} {one.code}".replace(f"{tmp_path}/", "") for one in found]
    # A key alone says where its file is not of interest: a default that does not fit.
    exact = [line for line in case.expected if len(line.split(" ")) > 1]
    keys = [line for line in case.expected if len(line.split(" ")) == 1]
    assert sorted(line for line in shown if line.split(" ")[1] not in keys) == sorted(exact)
    assert {line.split(" ")[1] for line in shown} >= set(keys)
    for one in found:
        assert one.reason.endswith(".")
        assert one.todo.endswith((".", "?"))


def test_the_corpus_is_as_large_as_it_should_be() -> None:
    assert len(CASES) >= 150
    assert len({case.title for case in CASES}) == len(CASES)


def test_what_the_cases_start_from_is_good(tmp_path: Path) -> None:
    BASE.lay(tmp_path)
    assert findings(tmp_path) == []
