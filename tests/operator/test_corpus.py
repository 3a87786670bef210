"""Each broken configuration of the corpus gets exactly the expected findings at the expected places."""

from __future__ import annotations

from pathlib import Path

import pytest

from tests.operator.cases import BASE, Case, load_cases
from whinrouter.operator.findings import Finding
from whinrouter.operator.host import check_host, load_configurations

CASES = load_cases()


def check_folder(folder: Path) -> list[Finding]:
    configurations, folder_findings = load_configurations(folder)
    return sorted({*folder_findings, *check_host(configurations)})


@pytest.mark.parametrize("case", CASES, ids=[case.title for case in CASES])
def test_broken_configuration_gets_the_expected_findings(case: Case, tmp_path: Path) -> None:
    case.write_to(tmp_path)
    findings = check_folder(tmp_path)
    lines = [
        f"{finding.location} {finding.key or '-'} {finding.code}".replace(f"{tmp_path}/", "")
        for finding in findings
    ]
    # An expected line of a key alone stands for any finding on that key, as on a default that does not fit.
    exact_lines = [line for line in case.expected if len(line.split(" ")) > 1]
    keys = [line for line in case.expected if len(line.split(" ")) == 1]
    assert sorted(line for line in lines if line.split(" ")[1] not in keys) == sorted(exact_lines)
    assert {line.split(" ")[1] for line in lines} >= set(keys)
    for finding in findings:
        assert finding.reason.endswith(".")
        assert finding.todo.endswith((".", "?"))


def test_corpus_has_enough_cases_with_unique_titles() -> None:
    assert len(CASES) >= 150
    assert len({case.title for case in CASES}) == len(CASES)


def test_base_case_has_no_findings(tmp_path: Path) -> None:
    BASE.write_to(tmp_path)
    assert check_folder(tmp_path) == []
