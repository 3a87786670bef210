"""The tool writes whole files or none, keeps the team's own, and refuses what would be bad."""

from __future__ import annotations

import signal
import subprocess
import sys
from pathlib import Path

import pytest

from tests.operator.cases import BASE
from whinrouter.operator.checks import check
from whinrouter.operator.cli import FOUND, GOOD, USAGE, main
from whinrouter.operator.host import check_host, configurations
from whinrouter.operator.loading import load

APP = """name = "shop"
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

# Wraps what changes the folder, and kills the process before or after the one of that number.
KILLED = """
import os, signal, sys
from pathlib import Path
at, calls = int(sys.argv[1]), 0
def wrap(call):
    def wrapped(*args, **kwargs):
        global calls
        for after in (False, True):
            if after:
                result = call(*args, **kwargs)
            if calls == at:
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
    folder = tmp_path / "host"
    folder.mkdir()
    BASE.lay(folder)
    return folder


def describe(folder: Path, text: str = APP) -> Path:
    path = folder.parent / "app.toml"
    path.write_text(text)
    return path


def write(host: Path, text: str = APP, *more: str) -> int:
    return main(["sidecar", "write", str(describe(host, text)), "--host-dir", str(host), *more])


def shown(folder: Path) -> dict[str, bytes]:
    return {path.name: path.read_bytes() for path in folder.iterdir() if path.suffix == ".toml"}


def test_what_is_written_is_good_and_the_same_each_time(host: Path) -> None:
    assert write(host) == GOOD
    first = shown(host)
    assert write(host) == GOOD
    assert shown(host) == first
    loaded = load(host / "shop.toml")
    assert check(loaded) == []
    kinds = {kind.name: kind.effect.value for kind in loaded.model.request_class}
    assert kinds == {"page-read": "idempotent", "chapter-buy": "at most once", "mark-read": "keyed"}
    assert str(loaded.model.listen.address) == "127.0.0.1:9100"
    loads, findings = configurations(host)
    assert [Path(one.path).name for one in loads] == ["base.toml", "shop.toml"]
    assert findings + check_host(loads) == []


def test_a_port_is_one_that_nobody_else_has(host: Path) -> None:
    (host / "other.toml").write_text(
        'include = ["base.toml"]\n[app]\nname = "other"\nports = [9101]\n'
        '[listen]\naddress = "127.0.0.1:9100"\n'
    )
    (host / "third.toml").write_text(
        'include = ["base.toml"]\n[app]\nname = "third"\nports = []\n[listen]\naddress = "[::1]:9102"\n'
    )
    assert write(host) == GOOD
    assert str(load(host / "shop.toml").model.listen.address) == "127.0.0.1:9103"


def test_a_team_s_own_edits_stay_and_count(host: Path) -> None:
    assert write(host) == GOOD
    local = host / "shop.local.toml"
    local.write_text("[limits]\nclients = 7\n")
    assert write(host, APP.replace("300ms", "200ms")) == GOOD
    assert local.read_text() == "[limits]\nclients = 7\n"
    loaded = load(host / "shop.toml")
    assert loaded.model.limits.clients == 7
    assert loaded.model.request_class[0].aim == 200_000


def test_a_dry_run_shows_the_change_and_makes_none(host: Path, capsys: pytest.CaptureFixture[str]) -> None:
    assert write(host) == GOOD
    before = shown(host)
    capsys.readouterr()
    assert write(host, APP.replace("300ms", "200ms"), "--dry-run") == GOOD
    told = capsys.readouterr().out
    assert '-aim = "300ms"' in told
    assert '+aim = "200ms"' in told
    assert shown(host) == before


@pytest.mark.parametrize(
    ("text", "code"),
    [
        (APP.replace('name = "chapter-buy"', 'name = "chapter-buy"\nsafe_to_repeat = true'), "unsafe-effect"),
        (APP.replace('name = "chapter-buy"', 'name = "gift-buy"\nsafe_to_repeat = true'), "undeclared"),
        (APP.replace('name = "page-read"', 'name = "page-read"\npath = "/"'), "declared-path"),
        (APP.replace("300ms", "300"), "value"),
        (APP.replace("300ms", "2s"), "aim-deadline"),
        (APP.replace('"4s"', '"6s"'), "client-deadline"),
        (APP.replace("ports", 'listen = "0.0.0.0:9105"\nports'), "not-loopback"),
        (APP.replace("ports", 'listen = "127.0.0.1:7001"\nports'), "loop"),
        (APP.replace("safe_to_repeat", "safe_to_repaet"), "unknown-key"),
        (APP.replace('owner = "shop team"\n', ""), "missing"),
        (APP.replace('["127.0.0.1:7001"]', "[]"), "missing"),
        (APP.replace('"shop"', '"reader"').replace("ports", 'listen = "127.0.0.1:9101"\nports'), "same-port"),
        (APP.replace("ports", 'hosts_file = "/run/hosts"\nports'), "no-effect"),
        (APP.replace("ports", 'when_gone = "exit"\nports'), "app-unknown"),
        ("name = ", "syntax"),
    ],
)
def test_a_bad_description_is_refused_and_nothing_written(
    host: Path, text: str, code: str, capsys: pytest.CaptureFixture[str]
) -> None:
    before = shown(host)
    assert write(host, text) == FOUND
    assert f"[{code}]" in capsys.readouterr().out
    assert shown(host) == before


def test_called_wrongly(host: Path, tmp_path: Path) -> None:
    assert main(["sidecar", "write", str(describe(host)), "--host-dir", str(tmp_path / "none")]) == USAGE


def test_a_run_killed_at_any_step_leaves_each_file_old_or_new(host: Path) -> None:
    description = describe(host)
    assert main(["sidecar", "write", str(description), "--host-dir", str(host)]) == GOOD
    old = shown(host)
    describe(host, APP.replace("300ms", "200ms").replace('"shop team"', '"new team"'))
    new = {}
    for at in range(1000):
        command = [sys.executable, "-c", KILLED, str(at), str(description), str(host)]
        code = subprocess.run(command, check=False, capture_output=True).returncode
        new = shown(host)
        assert new.keys() == old.keys()
        assert [name for name in new if new[name] != old[name]] in ([], ["shop.base.toml"])
        assert check(load(host / "shop.toml")) == []
        if code == GOOD:
            break
        assert code == -signal.SIGKILL
        for name, data in old.items():
            (host / name).write_bytes(data)
    assert at >= 8  # steps of writing: open, fsync, rename, the folder's own
    assert b"new team" in new["shop.base.toml"]
    assert not [path for path in host.iterdir() if path.name.endswith(".new")]


def test_a_first_run_killed_at_any_step_leaves_nothing_that_is_bad(host: Path) -> None:
    description = describe(host)
    for at in range(1000):
        command = [sys.executable, "-c", KILLED, str(at), str(description), str(host)]
        code = subprocess.run(command, check=False, capture_output=True).returncode
        loads, findings = configurations(host)
        assert findings + check_host(loads) == []
        if code == GOOD:
            break
        assert main(["sidecar", "write", str(description), "--host-dir", str(host)]) == GOOD
        assert str(load(host / "shop.toml").model.listen.address) == "127.0.0.1:9100"
        for path in host.glob("*shop*"):
            path.unlink()
    assert at >= 16
