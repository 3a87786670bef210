"""The examples in `deploy/` and in the operators' pages are correct and complete."""

from __future__ import annotations

import re
import shutil
import tomllib
from pathlib import Path

import msgspec

from whinrouter.operator.checks import check
from whinrouter.operator.cli import EXIT_OK, main
from whinrouter.operator.host import check_host, load_configurations
from whinrouter.operator.loading import load
from whinrouter.operator.model import Model, RequestClass

ROOT = Path(__file__).parent.parent.parent
EXAMPLE = ROOT / "deploy" / "example"


def test_example_has_no_findings() -> None:
    configurations, findings = load_configurations(EXAMPLE)
    assert [Path(loaded.path).name for loaded in configurations] == ["reader.toml"]
    assert findings + check_host(configurations) == []


def test_documented_operator_file_has_all_keys_and_no_others(tmp_path: Path) -> None:
    text = (ROOT / "deploy" / "operator.toml").read_text()
    # Keys and tables that are commented out are documented as well.
    text = re.sub(r"^# (?=(\[\[class\]\]|[a-z_]+ = ))", "", text, flags=re.MULTILINE)
    values = tomllib.loads(text)
    for section in msgspec.structs.fields(Model):
        if section.name == "class_defaults":
            continue
        struct = RequestClass if section.name == "request_class" else section.type
        shown = values["class"][0] if section.name == "request_class" else values[section.encode_name]
        assert set(shown) == {field.encode_name for field in msgspec.structs.fields(struct)}, section.name
    shutil.copy(EXAMPLE / "catalogue.toml", tmp_path)
    path = tmp_path / "operator.toml"
    path.write_text(text)
    assert not [finding for finding in check(load(path)) if finding.code in ("unknown-key", "value", "type")]


def test_documented_operator_file_shows_the_defaults(tmp_path: Path) -> None:
    path = tmp_path / "operator.toml"
    path.write_text((ROOT / "deploy" / "operator.toml").read_text())
    assert load(path).model == Model()


def test_tutorial_of_the_sidecar_page_leaves_no_findings(tmp_path: Path) -> None:
    page = (ROOT / "docs" / "operators" / "sidecar.md").read_text()
    (description,) = [
        block for block in re.findall(r"```toml\n(.*?)```", page, re.DOTALL) if "[[need]]" in block
    ]
    host = tmp_path / "example"
    shutil.copytree(EXAMPLE, host)
    path = tmp_path / "shop-app.toml"
    path.write_text(description)
    assert main(["sidecar", "write", str(path), "--host-dir", str(host)]) == EXIT_OK
    assert main(["sidecar", "check", str(host)]) == EXIT_OK
    address = load(host / "shop.toml").model.listen.address
    assert f"http://{address}/" in page
