"""What the pages and the examples show is so."""

from __future__ import annotations

import re
import shutil
import tomllib
from pathlib import Path

import msgspec

from whinrouter.operator.checks import check
from whinrouter.operator.cli import GOOD, main
from whinrouter.operator.host import check_host, configurations
from whinrouter.operator.loading import load
from whinrouter.operator.model import Model, RequestClass

ROOT = Path(__file__).parent.parent.parent
EXAMPLE = ROOT / "deploy" / "example"


def test_the_example_is_good() -> None:
    loads, findings = configurations(EXAMPLE)
    assert [Path(loaded.path).name for loaded in loads] == ["reader.toml"]
    assert findings + check_host(loads) == []


def test_the_documented_file_has_all_keys_and_only_those(tmp_path: Path) -> None:
    text = (ROOT / "deploy" / "operator.toml").read_text()
    # What is commented out as a key or a table is one.
    text = re.sub(r"^# (?=(\[\[class\]\]|[a-z_]+ = ))", "", text, flags=re.MULTILINE)
    told = tomllib.loads(text)
    for section in msgspec.structs.fields(Model):
        if section.name == "class_defaults":
            continue
        kind = RequestClass if section.name == "request_class" else section.type
        shown = told["class"][0] if section.name == "request_class" else told[section.encode_name]
        assert set(shown) == {field.encode_name for field in msgspec.structs.fields(kind)}, section.name
    shutil.copy(EXAMPLE / "catalogue.toml", tmp_path)
    path = tmp_path / "operator.toml"
    path.write_text(text)
    assert not [finding for finding in check(load(path)) if finding.code in ("unknown-key", "value", "type")]


def test_what_the_documented_file_shows_is_what_holds_without_it(tmp_path: Path) -> None:
    path = tmp_path / "operator.toml"
    path.write_text((ROOT / "deploy" / "operator.toml").read_text())
    assert load(path).model == Model()


def test_five_minutes(tmp_path: Path) -> None:
    page = (ROOT / "docs" / "operators" / "sidecar.md").read_text()
    (description,) = [
        block for block in re.findall(r"```toml\n(.*?)```", page, re.DOTALL) if "[[need]]" in block
    ]
    host = tmp_path / "example"
    shutil.copytree(EXAMPLE, host)
    path = tmp_path / "shop-app.toml"
    path.write_text(description)
    assert main(["sidecar", "write", str(path), "--host-dir", str(host)]) == GOOD
    assert main(["sidecar", "check", str(host)]) == GOOD
    address = load(host / "shop.toml").model.listen.address
    assert f"http://{address}/" in page
