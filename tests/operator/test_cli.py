"""The tool as it is called."""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path

import pytest

from tests.operator.cases import BASE
from whinrouter.operator.cli import FOUND, GOOD, USAGE, main
from whinrouter.operator.loading import load


@pytest.fixture
def folder(tmp_path: Path) -> Path:
    BASE.lay(tmp_path)
    (tmp_path / "app.toml").write_text('include = ["base.toml"]\n[limits]\nclients = 300\n')
    return tmp_path


def bad(folder: Path) -> Path:
    path = folder / "bad.toml"
    path.write_text('include = ["base.toml"]\n[limits]\nclients = 0\n[upstream]\nhegde = true\n')
    return path


def test_a_good_file_and_its_digest(folder: Path, capsys: pytest.CaptureFixture[str]) -> None:
    assert main(["sidecar", "check", str(folder / "app.toml")]) == GOOD
    assert f"good, digest {load(folder / 'app.toml').digest}" in capsys.readouterr().out


def test_all_findings_come_in_one_run_with_place_reason_and_what_to_do(
    folder: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path = bad(folder)
    assert main(["sidecar", "check", str(path)]) == FOUND
    first, second = capsys.readouterr().out.splitlines()
    assert first == f"{path}:3: limits.clients [value] Expected `int` >= 1. Write a value of that form."
    assert (
        second
        == f"{path}:5: upstream.hegde [unknown-key] There is no key 'hegde' here. Did you mean 'hedge'?"
    )


def test_findings_for_machines(folder: Path, capsys: pytest.CaptureFixture[str]) -> None:
    assert main(["sidecar", "check", "--json", str(bad(folder))]) == FOUND
    told = json.loads(capsys.readouterr().out)
    assert [(one["line"], one["key"], one["code"]) for one in told["findings"]] == [
        (3, "limits.clients", "value"),
        (5, "upstream.hegde", "unknown-key"),
    ]
    assert main(["sidecar", "check", "--json", str(folder)]) == FOUND
    told = json.loads(capsys.readouterr().out)
    assert [Path(one["file"]).name for one in told["files"]] == ["app.toml", "bad.toml"]


def test_explain(folder: Path, capsys: pytest.CaptureFixture[str]) -> None:
    path = folder / "app.toml"
    assert main(["sidecar", "explain", str(path), "limits"]) == GOOD
    assert f"limits.clients = 300  # {path}:3" in capsys.readouterr().out.splitlines()
    assert main(["sidecar", "explain", str(path)]) == GOOD
    assert f'class.page-read.aim = "400ms"  # {folder}/base.toml:15' in capsys.readouterr().out
    assert main(["sidecar", "explain", str(path), "limits.nothing"]) == USAGE


def test_diff(folder: Path, capsys: pytest.CaptureFixture[str]) -> None:
    assert main(["sidecar", "diff", str(folder / "base.toml"), str(folder / "app.toml")]) == GOOD
    assert capsys.readouterr().out == "limits.clients: 400 -> 300 (needs a restart)\n"
    assert main(["sidecar", "diff", str(folder / "base.toml"), str(bad(folder))]) == FOUND


@pytest.mark.parametrize("arguments", [[], ["sidecar"], ["sidecar", "check"], ["sidecar", "chekc", "x"]])
def test_called_wrongly(arguments: list[str]) -> None:
    with pytest.raises(SystemExit) as ended:
        main(arguments)
    assert ended.value.code == USAGE


def test_the_tool_does_without_the_gateway(folder: Path) -> None:
    code = (
        "import sys; from whinrouter.operator.cli import main; main(['sidecar', 'check', sys.argv[1]]); "
        "loaded = {'asyncio', 'httptools', 'whinrouter.balance', 'whinrouter.net'} & set(sys.modules); "
        "sys.exit(f'imported {loaded}' if loaded else 0)"
    )
    ended = subprocess.run(
        [sys.executable, "-c", code, str(folder / "app.toml")], capture_output=True, text=True, check=False
    )
    assert ended.returncode == 0, ended.stderr


def test_the_gateway_does_without_the_operator_file() -> None:
    """Where it is off, its memory is not paid for."""
    code = "import sys, whinrouter.__main__; sys.exit('msgspec' in sys.modules)"
    assert subprocess.run([sys.executable, "-c", code], check=False).returncode == 0
