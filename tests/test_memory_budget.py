"""The division of a process's memory limit, and modules that would take a part of it for nothing."""

from __future__ import annotations

import os
import subprocess
import sys

import pytest

from whinrouter.lean_imports import UNUSED_MODULES
from whinrouter.memory_budget import (
    BASE_BYTES,
    MAX_READ_BYTES,
    MIB,
    MIN_BUDGET_BYTES,
    MIN_READ_BYTES,
    ReadWindow,
    budget_for,
)


@pytest.mark.parametrize("megabytes", [1, 8, 32, 64, 128, 192, 2048])
def test_the_budget_leaves_a_reserve_of_what_the_limit_allows(megabytes: int) -> None:
    budget = budget_for(megabytes * MIB)
    available = max(MIN_BUDGET_BYTES, megabytes * MIB - BASE_BYTES)
    assert 0 < budget.request_bytes + budget.flow_bytes <= available / 2


def test_reads_are_smaller_the_more_bodies_are_on_their_way() -> None:
    window = ReadWindow(MIB)
    sizes = []
    for flow_count in (0, 1, 16, 17, 64, 256, 10_000):
        window.set_flow_count(flow_count)
        sizes.append(window.size)
    assert sizes == sorted(sizes, reverse=True)
    assert (sizes[0], sizes[-1]) == (MAX_READ_BYTES, MIN_READ_BYTES)
    window.set_flow_count(1)
    assert window.size == MAX_READ_BYTES


def test_reads_are_smaller_the_more_answers_another_process_has_begun() -> None:
    """Their reads were of the greatest size, however many there were."""
    window = ReadWindow(MIB)
    window.set_flow_count(64)
    size = window.size
    window.set_relay_count(64)
    assert window.size == max(MIN_READ_BYTES, size // 2)
    window.set_flow_count(0)
    assert window.size == size
    window.set_relay_count(0)
    assert window.size == MAX_READ_BYTES


def test_without_a_limit_reads_are_always_large() -> None:
    window = ReadWindow()
    window.set_flow_count(10_000)
    assert window.size == MAX_READ_BYTES


def test_the_program_does_not_load_modules_that_it_never_uses() -> None:
    code = (
        "import sys; from whinrouter.lean_imports import leave_out_unused_modules; "
        "leave_out_unused_modules(); import whinrouter.platform_gateway; "
        "print([name for name in sys.argv[1:] if sys.modules.get(name) is not None])"
    )
    environment = {name: os.environ[name] for name in ("PYTHONPATH", "PYTHONSAFEPATH") if name in os.environ}
    command = [sys.executable, "-c", code, *UNUSED_MODULES]
    output = subprocess.run(command, env=environment, check=True, capture_output=True, text=True).stdout
    assert output.strip() == "[]"
