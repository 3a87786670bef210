"""The command `copperlead`: runs a sidecar, and writes, checks, explains and compares configurations.

It imports the gateway only for the commands that need it, so that the others start fast.
"""

from __future__ import annotations

import argparse
import json
import sys
from collections.abc import Sequence
from pathlib import Path

from whinrouter.operator.checks import check
from whinrouter.operator.explain import changes, effective_values
from whinrouter.operator.findings import Finding
from whinrouter.operator.groups import group_warnings
from whinrouter.operator.host import check_host, load_configurations
from whinrouter.operator.host_lines import MAX_HOST_FILE_BYTES, HostLine, parse_host_lines
from whinrouter.operator.loading import Loaded, load
from whinrouter.operator.model import Source
from whinrouter.operator.values import Address
from whinrouter.operator.writing import plan_files, read_description, unified_diff, write_files

EXIT_OK, EXIT_FINDINGS, EXIT_USAGE = 0, 1, 2


def main(arguments: Sequence[str] | None = None) -> int:
    """Run a command; return 0, 1 if a configuration has findings, or 2 if the command was called wrongly."""
    args = _parser().parse_args(arguments)  # on errors argparse itself exits with 2
    try:
        return int(args.handler(args))
    except (FileNotFoundError, NotADirectoryError, PermissionError) as error:
        print(f"copperlead: {error.filename}: {error.strerror}", file=sys.stderr)
        return EXIT_USAGE


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="copperlead", description="A load-balancing gateway and its sidecars."
    )
    commands = parser.add_subparsers(required=True)
    run = commands.add_parser("run", help="run a sidecar")
    run.add_argument("--operator", type=Path, required=True, metavar="FILE")
    run.add_argument("--digest", help="run only if the files still have this digest, as shown by `check`")
    run.set_defaults(handler=_run)
    ctl = commands.add_parser("ctl", help="call a running gateway: HEALTH, OFFLINE ID, ...")
    ctl.add_argument("address", type=Address.parse, metavar="HOST:PORT")
    ctl.add_argument("call", nargs="+", metavar="CALL")
    ctl.add_argument("--json", action="store_true")
    ctl.set_defaults(handler=_ctl)
    sidecar = commands.add_parser("sidecar", help="write and check configurations").add_subparsers(
        required=True
    )
    command = sidecar.add_parser("check", help="report all findings on files, or on the folder of a machine")
    command.add_argument("paths", nargs="+", type=Path, metavar="PATH")
    command.add_argument("--json", action="store_true")
    command.set_defaults(handler=_check)
    command = sidecar.add_parser("write", help="write a configuration from an application's description")
    command.add_argument("description", type=Path, metavar="APP.toml")
    command.add_argument("--host-dir", type=Path, default=Path())
    command.add_argument("--dry-run", action="store_true", help="show what would change")
    command.set_defaults(handler=_write)
    command = sidecar.add_parser("explain", help="show each value in force and its origin")
    command.add_argument("file", type=Path)
    command.add_argument("key", nargs="?", default="")
    command.set_defaults(handler=_explain)
    command = sidecar.add_parser("diff", help="show what changes in behaviour, and what needs a restart")
    command.add_argument("old", type=Path)
    command.add_argument("new", type=Path)
    command.set_defaults(handler=_diff)
    return parser


def _run(args: argparse.Namespace) -> int:
    from whinrouter.sidecar import run  # noqa: PLC0415 - the other commands do not need the gateway

    return run(args.operator, args.digest)


def _ctl(args: argparse.Namespace) -> int:
    from whinrouter.control.ctl import main as run_ctl  # noqa: PLC0415 - the other commands do not need it

    return run_ctl((args.address.host, args.address.port), args.call, args.json)


def _check(args: argparse.Namespace) -> int:
    configurations: list[Loaded] = []
    findings: list[Finding] = []
    for path in args.paths:
        if path.is_dir():
            in_folder, folder_findings = load_configurations(path)
            configurations += in_folder
            findings += folder_findings
        else:
            configurations.append(load(path))
    findings = sorted({*findings, *check_host(configurations)})
    warnings = [
        warning for loaded in configurations for warning in group_warnings(loaded, _listed_hosts(loaded))
    ]
    if args.json:
        report = {
            "files": [{"file": loaded.path, "digest": loaded.digest} for loaded in configurations],
            "findings": [finding.as_dict() for finding in findings],
            "warnings": [warning.as_dict() for warning in warnings],
        }
        print(json.dumps(report, indent=1))
        return EXIT_FINDINGS if findings else EXIT_OK
    for finding in findings:
        print(finding)
    for warning in warnings:
        print(f"warning: {warning}")
    if findings:
        print(f"{len(findings)} findings in {len(configurations)} configurations", file=sys.stderr)
        return EXIT_FINDINGS
    for loaded in configurations:
        print(f"{loaded.path}: good, digest {loaded.digest}")
    return EXIT_OK


def _listed_hosts(loaded: Loaded) -> list[HostLine]:
    """Return the hosts of a configuration; none if they are not known here."""
    discovery = loaded.model.discovery
    if discovery.source is Source.STATIC:
        return [HostLine(address) for address in discovery.hosts]
    if discovery.source is not Source.FILE:
        return []
    try:
        with open(discovery.file, "rb") as file:
            return parse_host_lines(file.read(MAX_HOST_FILE_BYTES).decode())
    except (OSError, ValueError):  # the sidecar reports it, and goes on with what it has
        return []


def _write(args: argparse.Namespace) -> int:
    description, findings = read_description(args.description)
    if description is None or findings:
        return _report_not_written(findings)
    if not args.host_dir.is_dir():
        print(f"copperlead: {args.host_dir} is not a folder", file=sys.stderr)
        return EXIT_USAGE
    plan = plan_files(description, args.host_dir)
    if args.dry_run:
        print(unified_diff(plan), end="")
    if plan.findings:
        return _report_not_written(plan.findings)
    if not args.dry_run:
        for path in write_files(plan):
            print(f"wrote {path}")
    return EXIT_OK


def _report_not_written(findings: list[Finding]) -> int:
    for finding in findings:
        print(finding)
    print("nothing was written", file=sys.stderr)
    return EXIT_FINDINGS


def _load_and_report(path: Path) -> Loaded:
    """Load a configuration that is to be explained; its findings go to stderr."""
    loaded = load(path)
    for finding in check(loaded):
        print(finding, file=sys.stderr)
    return loaded


def _explain(args: argparse.Namespace) -> int:
    loaded = _load_and_report(args.file)
    values = effective_values(loaded)
    selected = [entry for entry in values if entry.key == args.key or entry.key.startswith(args.key + ".")]
    for entry in selected if args.key else values:
        print(f"{entry.key} = {entry.value}  # {entry.origin}")
    if args.key and not selected:
        print(f"copperlead: there is no key {args.key}", file=sys.stderr)
        return EXIT_USAGE
    return EXIT_FINDINGS if check(loaded) else EXIT_OK


def _diff(args: argparse.Namespace) -> int:
    old, new = _load_and_report(args.old), _load_and_report(args.new)
    for change in changes(old, new):
        print(change)
    return EXIT_FINDINGS if check(new) else EXIT_OK


if __name__ == "__main__":
    sys.exit(main())
