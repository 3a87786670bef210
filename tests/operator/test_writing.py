"""`copperlead sidecar write` writes whole files, keeps a team's own file, and writes nothing on findings."""

from __future__ import annotations

import signal
import subprocess
import sys
from pathlib import Path

import pytest

from tests.operator.cases import BASE
from whinrouter.operator.checks import check
from whinrouter.operator.cli import EXIT_FINDINGS, EXIT_OK, EXIT_USAGE, main
from whinrouter.operator.host import check_host, load_configurations
from whinrouter.operator.loading import load

DESCRIPTION = """name = "shop"
owner = "shop team"
ports = [8090]
hosts = ["127.0.0.1:7001"]

[[need]]
name = "page-read"
safe_to_repeat = true
answer_within = "300ms"

[[need]]
name = "chapter-buy"
give_up_after = "4s"

[[need]]
name = "mark-read"
"""

# Wraps the calls that change the folder, and kills the process before or after the call with a given number.
KILLED_PROGRAM = """
import os, signal, sys
from pathlib import Path
kill_at, calls = int(sys.argv[1]), 0
def wrap(call):
    def wrapped(*args, **kwargs):
        global calls
        for after in (False, True):
            if after:
                result = call(*args, **kwargs)
            if calls == kill_at:
                os.kill(os.getpid(), signal.SIGKILL)
            calls += 1
        return result
    return wrapped
for name in ("open", "rename", "fsync"):
    setattr(os, name, wrap(getattr(os, name)))
from whinrouter.operator.cli import main
sys.exit(main(["sidecar", "write", sys.argv[2], "--host-dir", sys.argv[3]]))
"""


@pytest.fixture
def host(tmp_path: Path) -> Path:
    """A folder of a machine's configurations, with the base case in it."""
    folder = tmp_path / "host"
    folder.mkdir()
    BASE.write_to(folder)
    return folder


def write_description(folder: Path, text: str = DESCRIPTION) -> Path:
    path = folder.parent / "app.toml"
    path.write_text(text)
    return path


def run_write(host: Path, text: str = DESCRIPTION, *options: str) -> int:
    """Run the command on a description; return its exit code."""
    return main(["sidecar", "write", str(write_description(host, text)), "--host-dir", str(host), *options])


def toml_files(folder: Path) -> dict[str, bytes]:
    return {path.name: path.read_bytes() for path in folder.iterdir() if path.suffix == ".toml"}


def test_written_files_have_no_findings_and_are_the_same_each_time(host: Path) -> None:
    assert run_write(host) == EXIT_OK
    first = toml_files(host)
    assert run_write(host) == EXIT_OK
    assert toml_files(host) == first
    loaded = load(host / "shop.toml")
    assert check(loaded) == []
    effects = {entry.name: entry.effect.value for entry in loaded.model.request_class}
    assert effects == {"page-read": "idempotent", "chapter-buy": "at most once", "mark-read": "keyed"}
    assert str(loaded.model.listen.address) == "127.0.0.1:9100"
    configurations, findings = load_configurations(host)
    assert [Path(entry.path).name for entry in configurations] == ["base.toml", "shop.toml"]
    assert findings + check_host(configurations) == []


def test_assigned_port_is_used_by_no_other_sidecar_or_application(host: Path) -> None:
    (host / "other.toml").write_text(
        'include = ["base.toml"]\n[app]\nname = "other"\nports = [9101]\n'
        '[listen]\naddress = "127.0.0.1:9100"\n'
    )
    (host / "third.toml").write_text(
        'include = ["base.toml"]\n[app]\nname = "third"\nports = []\n[listen]\naddress = "[::1]:9102"\n'
    )
    assert run_write(host) == EXIT_OK
    assert str(load(host / "shop.toml").model.listen.address) == "127.0.0.1:9103"


def test_local_file_is_kept_and_overrides_the_base(host: Path) -> None:
    assert run_write(host) == EXIT_OK
    local = host / "shop.local.toml"
    local.write_text("[limits]\nclients = 7\n")
    assert run_write(host, DESCRIPTION.replace("300ms", "200ms")) == EXIT_OK
    assert local.read_text() == "[limits]\nclients = 7\n"
    loaded = load(host / "shop.toml")
    assert loaded.model.limits.clients == 7
    assert loaded.model.request_class[0].aim == 200_000


def test_dry_run_prints_the_diff_and_writes_nothing(host: Path, capsys: pytest.CaptureFixture[str]) -> None:
    assert run_write(host) == EXIT_OK
    before = toml_files(host)
    capsys.readouterr()
    assert run_write(host, DESCRIPTION.replace("300ms", "200ms"), "--dry-run") == EXIT_OK
    output = capsys.readouterr().out
    assert '-aim = "300ms"' in output
    assert '+aim = "200ms"' in output
    assert toml_files(host) == before


@pytest.mark.parametrize(
    ("text", "code"),
    [
        (
            DESCRIPTION.replace('name = "chapter-buy"', 'name = "chapter-buy"\nsafe_to_repeat = true'),
            "unsafe-effect",
        ),
        (
            DESCRIPTION.replace('name = "chapter-buy"', 'name = "gift-buy"\nsafe_to_repeat = true'),
            "undeclared",
        ),
        (DESCRIPTION.replace('name = "page-read"', 'name = "page-read"\npath = "/"'), "declared-path"),
        (DESCRIPTION.replace("300ms", "300"), "value"),
        (DESCRIPTION.replace("300ms", "2s"), "aim-deadline"),
        (DESCRIPTION.replace('"4s"', '"6s"'), "client-deadline"),
        (DESCRIPTION.replace("ports", 'listen = "0.0.0.0:9105"\nports'), "not-loopback"),
        (DESCRIPTION.replace("ports", 'listen = "127.0.0.1:7001"\nports'), "loop"),
        (DESCRIPTION.replace("safe_to_repeat", "safe_to_repaet"), "unknown-key"),
        (DESCRIPTION.replace('owner = "shop team"\n', ""), "missing"),
        (DESCRIPTION.replace('["127.0.0.1:7001"]', "[]"), "missing"),
        (
            DESCRIPTION.replace('"shop"', '"reader"').replace("ports", 'listen = "127.0.0.1:9101"\nports'),
            "same-port",
        ),
        (DESCRIPTION.replace("ports", 'hosts_file = "/run/hosts"\nports'), "no-effect"),
        (DESCRIPTION.replace("ports", 'when_gone = "exit"\nports'), "app-unknown"),
        ("name = ", "syntax"),
    ],
)
def test_description_with_findings_is_rejected_and_nothing_is_written(
    host: Path, text: str, code: str, capsys: pytest.CaptureFixture[str]
) -> None:
    before = toml_files(host)
    assert run_write(host, text) == EXIT_FINDINGS
    assert f"[{code}]" in capsys.readouterr().out
    assert toml_files(host) == before


def test_missing_host_folder_is_a_usage_error(host: Path, tmp_path: Path) -> None:
    assert (
        main(["sidecar", "write", str(write_description(host)), "--host-dir", str(tmp_path / "none")])
        == EXIT_USAGE
    )


def test_run_killed_at_any_step_leaves_each_file_old_or_new(host: Path) -> None:
    description = write_description(host)
    assert main(["sidecar", "write", str(description), "--host-dir", str(host)]) == EXIT_OK
    old = toml_files(host)
    write_description(host, DESCRIPTION.replace("300ms", "200ms").replace('"shop team"', '"new team"'))
    new = {}
    for step in range(1000):
        command = [sys.executable, "-c", KILLED_PROGRAM, str(step), str(description), str(host)]
        code = subprocess.run(command, check=False, capture_output=True).returncode
        new = toml_files(host)
        assert new.keys() == old.keys()
        assert [name for name in new if new[name] != old[name]] in ([], ["shop.base.toml"])
        assert check(load(host / "shop.toml")) == []
        if code == EXIT_OK:
            break
        assert code == -signal.SIGKILL
        for name, data in old.items():
            (host / name).write_bytes(data)
    assert step >= 8  # before and after each of: open, fsync, rename, and fsync of the folder
    assert b"new team" in new["shop.base.toml"]
    assert not [path for path in host.iterdir() if path.name.endswith(".new")]


def test_first_run_killed_at_any_step_leaves_no_findings(host: Path) -> None:
    description = write_description(host)
    for step in range(1000):
        command = [sys.executable, "-c", KILLED_PROGRAM, str(step), str(description), str(host)]
        code = subprocess.run(command, check=False, capture_output=True).returncode
        configurations, findings = load_configurations(host)
        assert findings + check_host(configurations) == []
        if code == EXIT_OK:
            break
        assert main(["sidecar", "write", str(description), "--host-dir", str(host)]) == EXIT_OK
        assert str(load(host / "shop.toml").model.listen.address) == "127.0.0.1:9100"
        for path in host.glob("*shop*"):
            path.unlink()
    assert step >= 16
