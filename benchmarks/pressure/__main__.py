"""python -m benchmarks.pressure [--picture NAME ...] [--clients N] [--memory MB] [--sockets N] [--seed N]

Runs pictures of slow and misbehaving peers against a gateway with little memory, beside ordinary clients, and
prints for each the peak of the gateway's resident memory and how the ordinary clients were served. Exits with
1 if a process ended or passed its memory limit.
"""

from __future__ import annotations

import argparse
import asyncio
import os
import sys

from benchmarks.farm import ROOT, gateway_command
from benchmarks.pressure.pictures import PICTURES
from benchmarks.pressure.play import MIB, play


def main() -> int:
    parser = argparse.ArgumentParser(prog="benchmarks.pressure", description=__doc__)
    parser.add_argument("--picture", nargs="*", choices=list(PICTURES), default=list(PICTURES))
    parser.add_argument("--clients", type=int, default=300)
    parser.add_argument("--memory", type=int, default=32)
    parser.add_argument("--sockets", type=int, default=1024)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=6.0)
    parser.add_argument("--log", action="store_true", help="print the gateway's log")
    arguments = parser.parse_args()
    command, passed = gateway_command(ROOT), True
    environment = {name: value for name, value in os.environ.items() if not name.startswith("PYTHON")}
    for picture in arguments.picture:
        verdict = asyncio.run(
            play(
                command,
                picture,
                arguments.clients,
                arguments.memory,
                arguments.sockets,
                arguments.seed,
                arguments.seconds,
                environment,
                ROOT,
            )
        )
        print(verdict, flush=True)
        if arguments.log:
            print("\n".join(f"    {line[:200]}" for line in verdict.log_tail))
        passed = passed and not verdict.has_ended and verdict.peak_bytes <= arguments.memory * MIB
    return 0 if passed else 1


if __name__ == "__main__":
    sys.exit(main())
