"""`copperlead`: runs a sidecar, and writes, checks, explains and compares configurations.

It imports the gateway only to run it.
"""

from __future__ import annotations

import argparse
import json
import sys
from collections.abc import Sequence
from pathlib import Path

from whinrouter.operator.checks import check
from whinrouter.operator.explain import changes, effective
from whinrouter.operator.findings import Finding
from whinrouter.operator.host import check_host, configurations
from whinrouter.operator.loading import Loaded, load
from whinrouter.operator.values import Address
from whinrouter.operator.writing import describe, difference, draft, write

GOOD, FOUND, USAGE = 0, 1, 2


def main(arguments: Sequence[str] | None = None) -> int:
    """Return 0; 1 if something is wrong with a configuration; 2 if it was called wrongly."""
    told = _parser().parse_args(arguments)  # argparse leaves with 2 by itself
    try:
        return int(told.act(told))
    except (FileNotFoundError, NotADirectoryError, PermissionError) as error:
        print(f"copperlead: {error.filename}: {error.strerror}", file=sys.stderr)
        return USAGE


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="copperlead", description="A load-balancing gateway and its sidecars."
    )
    commands = parser.add_subparsers(required=True)
    run = commands.add_parser("run", help="run a sidecar")
    run.add_argument("--operator", type=Path, required=True, metavar="FILE")
    run.add_argument("--digest", help="run only what `check` showed this digest of")
    run.set_defaults(act=_run)
    ctl = commands.add_parser("ctl", help="a call to a running gateway: HEALTH, OFFLINE ID, ...")
    ctl.add_argument("address", type=Address.read, metavar="HOST:PORT")
    ctl.add_argument("words", nargs="+", metavar="CALL")
    ctl.add_argument("--json", action="store_true")
    ctl.set_defaults(act=_ctl)
    sidecar = commands.add_parser("sidecar", help="write and check configurations").add_subparsers(
        required=True
    )
    one = sidecar.add_parser("check", help="all that is wrong with files, or with a whole host's folder")
    one.add_argument("paths", nargs="+", type=Path, metavar="PATH")
    one.add_argument("--json", action="store_true")
    one.set_defaults(act=_check)
    one = sidecar.add_parser("write", help="a configuration from an application's description")
    one.add_argument("description", type=Path, metavar="APP.toml")
    one.add_argument("--host-dir", type=Path, default=Path())
    one.add_argument("--dry-run", action="store_true", help="show what would change")
    one.set_defaults(act=_write)
    one = sidecar.add_parser("explain", help="each value in force and where it came from")
    one.add_argument("file", type=Path)
    one.add_argument("key", nargs="?", default="")
    one.set_defaults(act=_explain)
    one = sidecar.add_parser("diff", help="what changes in behaviour, and what needs a restart")
    one.add_argument("old", type=Path)
    one.add_argument("new", type=Path)
    one.set_defaults(act=_diff)
    return parser


def _run(told: argparse.Namespace) -> int:
    from whinrouter.sidecar import run  # noqa: PLC0415 - the tool does without the gateway

    return run(told.operator, told.digest)


def _ctl(told: argparse.Namespace) -> int:
    from whinrouter.control.ctl import main as call  # noqa: PLC0415 - files are checked without it

    return call((told.address.host, told.address.port), told.words, told.json)


def _check(told: argparse.Namespace) -> int:
    loads: list[Loaded] = []
    findings: list[Finding] = []
    for path in told.paths:
        if path.is_dir():
            below, wrong = configurations(path)
            loads += below
            findings += wrong
        else:
            loads.append(load(path))
    findings = sorted({*findings, *check_host(loads)})
    if told.json:
        files = [{"file": loaded.path, "digest": loaded.digest} for loaded in loads]
        print(json.dumps({"files": files, "findings": [finding.plain() for finding in findings]}, indent=1))
        return FOUND if findings else GOOD
    for finding in findings:
        print(finding)
    if findings:
        print(f"{len(findings)} findings in {len(loads)} configurations", file=sys.stderr)
        return FOUND
    for loaded in loads:
        print(f"{loaded.path}: good, digest {loaded.digest}")
    return GOOD


def _write(told: argparse.Namespace) -> int:
    description, findings = describe(told.description)
    if description is None or findings:
        return _refuse(findings)
    if not told.host_dir.is_dir():
        print(f"copperlead: {told.host_dir} is no folder", file=sys.stderr)
        return USAGE
    plan = draft(description, told.host_dir)
    if told.dry_run:
        print(difference(plan), end="")
    if plan.findings:
        return _refuse(plan.findings)
    if not told.dry_run:
        for path in write(plan):
            print(f"wrote {path}")
    return GOOD


def _refuse(findings: list[Finding]) -> int:
    for finding in findings:
        print(finding)
    print("nothing was written", file=sys.stderr)
    return FOUND


def _loaded(path: Path) -> Loaded:
    """A configuration that can be explained; what is wrong with it is told beside."""
    loaded = load(path)
    for finding in check(loaded):
        print(finding, file=sys.stderr)
    return loaded


def _explain(told: argparse.Namespace) -> int:
    loaded = _loaded(told.file)
    everything = effective(loaded)
    shown = [one for one in everything if one.key == told.key or one.key.startswith(told.key + ".")]
    for one in shown if told.key else everything:
        print(f"{one.key} = {one.value}  # {one.origin}")
    if told.key and not shown:
        print(f"copperlead: there is no key {told.key}", file=sys.stderr)
        return USAGE
    return FOUND if check(loaded) else GOOD


def _diff(told: argparse.Namespace) -> int:
    old, new = _loaded(told.old), _loaded(told.new)
    for change in changes(old, new):
        print(change)
    return FOUND if check(new) else GOOD


if __name__ == "__main__":
    sys.exit(main())
