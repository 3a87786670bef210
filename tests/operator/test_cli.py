"""The command `copperlead sidecar`: exit codes and output of check, explain and diff; what it imports."""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path

import pytest

from tests.operator.cases import BASE
from whinrouter.operator.cli import EXIT_FINDINGS, EXIT_OK, EXIT_USAGE, main
from whinrouter.operator.loading import load


@pytest.fixture
def folder(tmp_path: Path) -> Path:
    BASE.write_to(tmp_path)
    (tmp_path / "app.toml").write_text('include = ["base.toml"]\n[limits]\nclients = 300\n')
    return tmp_path


def write_bad_file(folder: Path) -> Path:
    """Write a file with two findings; return its path."""
    path = folder / "bad.toml"
    path.write_text('include = ["base.toml"]\n[limits]\nclients = 0\n[upstream]\nhegde = true\n')
    return path


def test_check_prints_the_digest_of_a_good_file(folder: Path, capsys: pytest.CaptureFixture[str]) -> None:
    assert main(["sidecar", "check", str(folder / "app.toml")]) == EXIT_OK
    assert f"good, digest {load(folder / 'app.toml').digest}" in capsys.readouterr().out


def test_check_prints_all_findings_with_location_reason_and_remedy(
    folder: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path = write_bad_file(folder)
    assert main(["sidecar", "check", str(path)]) == EXIT_FINDINGS
    first, second = capsys.readouterr().out.splitlines()
    assert first == f"{path}:3: limits.clients [value] Expected `int` >= 1. Write a value of that form."
    assert (
        second
        == f"{path}:5: upstream.hegde [unknown-key] There is no key 'hegde' here. Did you mean 'hedge'?"
    )


def test_check_json_lists_files_and_findings(folder: Path, capsys: pytest.CaptureFixture[str]) -> None:
    assert main(["sidecar", "check", "--json", str(write_bad_file(folder))]) == EXIT_FINDINGS
    output = json.loads(capsys.readouterr().out)
    assert [(finding["line"], finding["key"], finding["code"]) for finding in output["findings"]] == [
        (3, "limits.clients", "value"),
        (5, "upstream.hegde", "unknown-key"),
    ]
    assert main(["sidecar", "check", "--json", str(folder)]) == EXIT_FINDINGS
    output = json.loads(capsys.readouterr().out)
    assert [Path(entry["file"]).name for entry in output["files"]] == ["app.toml", "bad.toml"]


KEYED_CLASS = """
[[class]]
name = "mark-read"
effect = "keyed"
remembered = "10s"
"""


@pytest.mark.parametrize(
    ("hosts", "group", "is_warned"),
    [
        ("127.0.0.1:7001\n127.0.0.1:7002\n", "cell", True),
        ("127.0.0.1:7001 cell=1\n127.0.0.1:7002 zone=a\n", "cell", True),
        ("127.0.0.1:7001 cell=1\n127.0.0.1:7002 zone=a\n", "zone", True),
        ("127.0.0.1:7001 cell=0\n127.0.0.1:7002 cell=0\n", "cell", False),
        ("127.0.0.1:7001 zone=a\n127.0.0.1:7002 zone=b\n", "zone", False),
        ("127.0.0.1:7001\n127.0.0.1:7002\n", "all", False),
        ("127.0.0.1:7001\n", "cell", False),
        ("nothing that is a host\n", "cell", False),
    ],
)
def test_check_warns_of_a_keyed_class_whose_group_the_hosts_lack(
    folder: Path, capsys: pytest.CaptureFixture[str], hosts: str, group: str, is_warned: bool
) -> None:
    """Such a file is good: what may have run is not repeated, which callers see as failures."""
    (folder / "hosts").write_text(hosts)
    path = folder / "keyed.toml"
    discovery = f'[discovery]\nsource = "file"\nfile = "{folder}/hosts"\nhosts = []\n'
    path.write_text(f'include = ["base.toml"]\n{discovery}{KEYED_CLASS}group = "{group}"\n')
    status = main(["sidecar", "check", str(path)])
    output = capsys.readouterr().out
    assert status == EXIT_OK, output
    line = path.read_text().splitlines().index(f'group = "{group}"') + 1
    assert (f"warning: {path}:{line}: class.mark-read.group [unknown-group] " in output) == is_warned
    assert main(["sidecar", "check", "--json", str(path)]) == EXIT_OK
    assert bool(json.loads(capsys.readouterr().out)["warnings"]) == is_warned


def test_explain_shows_values_with_their_origin(folder: Path, capsys: pytest.CaptureFixture[str]) -> None:
    path = folder / "app.toml"
    assert main(["sidecar", "explain", str(path), "limits"]) == EXIT_OK
    assert f"limits.clients = 300  # {path}:3" in capsys.readouterr().out.splitlines()
    assert main(["sidecar", "explain", str(path)]) == EXIT_OK
    assert f'class.page-read.aim = "400ms"  # {folder}/base.toml:15' in capsys.readouterr().out
    assert main(["sidecar", "explain", str(path), "limits.nothing"]) == EXIT_USAGE


def test_diff_shows_changes_and_whether_they_need_a_restart(
    folder: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    assert main(["sidecar", "diff", str(folder / "base.toml"), str(folder / "app.toml")]) == EXIT_OK
    assert capsys.readouterr().out == "limits.clients: 400 -> 300 (needs a restart)\n"
    assert main(["sidecar", "diff", str(folder / "base.toml"), str(write_bad_file(folder))]) == EXIT_FINDINGS


@pytest.mark.parametrize("arguments", [[], ["sidecar"], ["sidecar", "check"], ["sidecar", "chekc", "x"]])
def test_wrong_arguments_exit_with_the_usage_code(arguments: list[str]) -> None:
    with pytest.raises(SystemExit) as exit_info:
        main(arguments)
    assert exit_info.value.code == EXIT_USAGE


def test_check_does_not_import_the_gateway(folder: Path) -> None:
    """Importing it would make the command slow to start."""
    code = (
        "import sys; from whinrouter.operator.cli import main; main(['sidecar', 'check', sys.argv[1]]); "
        "loaded = {'asyncio', 'httptools', 'whinrouter.balance', 'whinrouter.net'} & set(sys.modules); "
        "sys.exit(f'imported {loaded}' if loaded else 0)"
    )
    process = subprocess.run(
        [sys.executable, "-c", code, str(folder / "app.toml")], capture_output=True, text=True, check=False
    )
    assert process.returncode == 0, process.stderr


def test_gateway_does_not_import_the_operator_file() -> None:
    """A gateway that runs without an operator file does not spend memory on msgspec."""
    code = "import sys, whinrouter.__main__; sys.exit('msgspec' in sys.modules)"
    assert subprocess.run([sys.executable, "-c", code], check=False).returncode == 0
