"""Loading: precedence, origins, digests, and limits on what is read."""

from __future__ import annotations

import os
from pathlib import Path

from hypothesis import given
from hypothesis import strategies as st

from tests.operator.cases import BASE
from whinrouter.operator.checks import check
from whinrouter.operator.explain import changes, effective_values
from whinrouter.operator.loading import load, merge


def write_files(folder: Path, **files: str) -> Path:
    """Write the base case and further files, by name without suffix; return the path of app.toml."""
    BASE.write_to(folder)
    for name, text in files.items():
        (folder / f"{name}.toml").write_text(text)
    return folder / "app.toml"


def values_and_origins(path: Path) -> dict[str, tuple[str, str]]:
    """Return the value and the origin of each key, with origins relative to the folder."""
    found = {entry.key: (entry.value, entry.origin) for entry in effective_values(load(path))}
    return {key: (value, origin.replace(f"{path.parent}/", "")) for key, (value, origin) in found.items()}


def test_file_overrides_its_includes_and_a_later_include_an_earlier(tmp_path: Path) -> None:
    app = write_files(
        tmp_path,
        app='include = ["base.toml", "early.toml", "late.toml"]\n[limits]\nclients = 300\n',
        early="[limits]\nclients = 100\nsockets = 2000\n[upstream]\nattempts = 4\n",
        late="[limits]\nclients = 200\nsockets = 3000\n",
    )
    values = values_and_origins(app)
    assert values["limits.clients"] == ("300", "app.toml:3")
    assert values["limits.sockets"] == ("3000", "late.toml:3")
    assert values["upstream.attempts"] == ("4", "early.toml:5")
    assert values["upstream.hedge"] == ("false", "default")
    assert values["class.page-read.path"] == ('"/page-read"', "default")
    assert check(load(app)) == []


def test_classes_are_merged_by_name_and_other_lists_replaced(tmp_path: Path) -> None:
    app = write_files(
        tmp_path,
        app='include = ["base.toml"]\n[app]\nports = [1, 2]\n[[class]]\nname = "page-read"\nworth = 3\n',
    )
    values = values_and_origins(app)
    assert values["class.page-read.worth"] == ("3.0", "app.toml:6")
    assert values["class.page-read.aim"] == ('"400ms"', "base.toml:15")
    assert values["app.ports"] == ("[1, 2]", "app.toml:3")


def test_file_that_is_included_twice_is_read_once(tmp_path: Path) -> None:
    app = write_files(
        tmp_path,
        app='include = ["base.toml", "l.toml", "r.toml"]\n',
        l='include = ["b.toml"]\n[limits]\nclients = 5\n',
        r='include = ["b.toml"]\n',
        b="[limits]\nclients = 6\n",
    )
    loaded = load(app)
    assert check(loaded) == []
    assert [Path(name).name for name in loaded.files].count("b.toml") == 1
    assert loaded.model.limits.clients == 6  # r.toml, the later include, has b.toml's value


def test_digest_covers_every_file_that_is_read(tmp_path: Path) -> None:
    app = write_files(tmp_path, app='include = ["base.toml"]\n')
    before = load(app).digest
    assert load(app).digest == before
    for name in ("app.toml", "base.toml", "catalogue.toml"):
        path = tmp_path / name
        original = path.read_bytes()
        path.write_bytes(original + b"# more\n")
        assert load(app).digest != before
        path.write_bytes(original)
    assert load(app).digest == before


def test_including_a_named_pipe_does_not_block(tmp_path: Path) -> None:
    app = write_files(tmp_path, app='include = ["base.toml", "pipe.toml"]\n')
    os.mkfifo(tmp_path / "pipe.toml")
    assert [finding.code for finding in check(load(app))] == ["unreadable"]


def test_file_of_100_megabytes_is_rejected(tmp_path: Path) -> None:
    app = write_files(tmp_path, app='include = ["base.toml", "large.toml"]\n')
    with open(tmp_path / "large.toml", "wb") as file:
        file.truncate(100 * 1024**2)
    assert [finding.code for finding in check(load(app))] == ["too-large"]


def test_changes_show_whether_they_need_a_restart(tmp_path: Path) -> None:
    app = write_files(
        tmp_path,
        app='include = ["base.toml"]\n',
        new='include = ["base.toml"]\n[limits]\nclients = 10\n[discovery]\nhosts = ["127.0.0.1:7009"]\n'
        'zone = "b"\n[[class]]\nname = "search"\n',
    )
    change_by_key = {change.key: change for change in changes(load(app), load(tmp_path / "new.toml"))}
    assert (change_by_key["limits.clients"].old, change_by_key["limits.clients"].new) == ("400", "10")
    assert change_by_key["limits.clients"].needs_restart
    assert not change_by_key["discovery.hosts"].needs_restart
    assert change_by_key["discovery.zone"].needs_restart  # the balancer gets its zone only at the start
    assert change_by_key["class.search.effect"].old is None
    assert set(change_by_key) >= {"limits.clients", "discovery.hosts", "class.search.name"}
    assert not any(key.startswith("class.page-read") for key in change_by_key)


_TREE = st.recursive(
    st.integers(0, 3),
    lambda children: st.dictionaries(st.sampled_from("abc"), children, max_size=3),
    max_leaves=8,
)
_TABLE = st.dictionaries(st.sampled_from("abc"), _TREE, max_size=3)


@given(_TABLE, _TABLE, _TABLE)
def test_merge_is_associative_and_idempotent(
    first: dict[str, object], second: dict[str, object], third: dict[str, object]
) -> None:
    def is_leaf(value: object) -> bool:
        return not isinstance(value, dict)

    def conflict(a: object, b: object) -> bool:
        """Return whether one has a value where the other has a table, so that the later replaces it whole."""
        if isinstance(a, dict) and isinstance(b, dict):
            return any(conflict(a[key], b[key]) for key in a.keys() & b.keys())
        return is_leaf(a) != is_leaf(b)

    if not (conflict(first, second) or conflict(second, third) or conflict(first, third)):
        assert merge(merge(first, second), third) == merge(first, merge(second, third))
    assert merge(first, {}) == first == merge({}, first)
    assert merge(first, first) == first
