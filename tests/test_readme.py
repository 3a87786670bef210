"""The example in README.md runs and prints what README.md says."""

from __future__ import annotations

import re
from pathlib import Path

import pytest

README = Path(__file__).parent.parent / "README.md"


def test_the_example_runs(capsys: pytest.CaptureFixture[str]) -> None:
    blocks = re.findall(r"```python\n(.*?)```", README.read_text(), re.DOTALL)
    assert len(blocks) == 1
    exec(compile(blocks[0], str(README), "exec"), {})
    assert "Send(request=7" in capsys.readouterr().out
