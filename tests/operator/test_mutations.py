"""Random changes to good configurations: each result has findings, or is as safe as the catalogue declares.

No change makes loading or checking raise an exception.
"""

from __future__ import annotations

import tempfile
from pathlib import Path

from hypothesis import given, settings
from hypothesis import strategies as st

from tests.operator.cases import BASE, CORPUS
from whinrouter.interface import Effect
from whinrouter.operator.checks import check
from whinrouter.operator.loading import load
from whinrouter.sidecar import routes

GOOD_FILES = {path.name: path.read_text() for path in sorted((CORPUS / "good").glob("*.toml"))}
PLACEHOLDERS = {
    "LISTEN": "127.0.0.1:9100",
    "HOST": "127.0.0.1:7001",
    "DISCOVERY": "127.0.0.1:8500",
    "PORT": "9100",
}

# Effects in order of safety, and the rank that the catalogue declares for each path.
RANKS = {Effect.AT_MOST_ONCE: 0, Effect.KEYED: 1, Effect.IDEMPOTENT: 2}
DECLARED_RANKS = {"/page-read": 2, "/chapter-buy": 0, "/mark-read": 1}

_EFFECTS = st.sampled_from(["at most once", "keyed", "idempotent"])
_CLASS_NAMES = st.sampled_from(["page-read", "chapter-buy", "mark-read", "gift-buy", "other"])
_PATHS = st.sampled_from(
    ["/", "/chapter", "/chapter-buy", "/chapter-buy/x", "/page-read", "/mark-read", "/m"]
)
_METHODS = st.lists(st.sampled_from(["GET", "POST", "PUT", "DELETE"]), max_size=2).map(
    lambda names: "[" + ", ".join(f'"{name}"' for name in names) + "]"
)
_SETTING = st.one_of(
    _EFFECTS.map(lambda value: f'effect = "{value}"'),
    _CLASS_NAMES.map(lambda value: f'like = "{value}"'),
    _PATHS.map(lambda value: f'path = "{value}"'),
    _METHODS.map(lambda value: f"methods = {value}"),
    st.sampled_from(["0s", "10s", "11s"]).map(lambda value: f'remembered = "{value}"'),
)
_SETTINGS = st.lists(_SETTING, min_size=1, max_size=4, unique_by=lambda line: line.split(" ")[0]).map(
    "\n".join
)
_CLASS = st.tuples(_CLASS_NAMES, _SETTINGS).map(lambda pair: f'[[class]]\nname = "{pair[0]}"\n{pair[1]}\n')
_DEFAULTS = st.one_of(st.just(""), _SETTINGS.map(lambda lines: f"[class_defaults]\n{lines}\n"))


def write_files(folder: Path, files: dict[str, str]) -> None:
    """Write the base case's catalogue and these files, with values in place of the placeholders."""
    (folder / "catalogue.toml").write_bytes(BASE.files["catalogue.toml"])
    for file, text in files.items():
        filled = text.replace("FOLDER", str(folder))
        for name, value in PLACEHOLDERS.items():
            filled = filled.replace(name, value)
        (folder / file).write_text(filled)


def assert_safe(folder: Path, file: str) -> None:
    """Assert that a file has findings, or routes no declared path to a class with a safer effect."""
    loaded = load(folder / file)
    if check(loaded):
        return
    table = routes(loaded.model)
    for path, rank in DECLARED_RANKS.items():
        for target in (path, f"{path}/7?page=4", f"{path}?x"):
            route = table.find(target.encode())
            assert route is None or RANKS[route.request_class.effect] <= rank
            if route is not None and route.request_class.effect is not Effect.IDEMPOTENT:
                assert b"GET" not in route.methods


@settings(deadline=None, max_examples=300)
@given(
    st.sampled_from(sorted(GOOD_FILES)),
    st.lists(_CLASS, min_size=1, max_size=3),
    _DEFAULTS,
    st.booleans(),
)
def test_changed_classes_and_defaults_have_findings_or_stay_safe(
    file: str, classes: list[str], defaults: str, is_separate_file: bool
) -> None:
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        changed = defaults + "".join(classes)
        files = {**GOOD_FILES, "changed.toml": changed, "app.toml": f'include = ["{file}", "changed.toml"]\n'}
        if not is_separate_file:
            files["app.toml"] = f'include = ["{file}"]\n{changed}'
        write_files(folder, files)
        assert_safe(folder, "app.toml")


@settings(deadline=None, max_examples=300)
@given(st.sampled_from(sorted(GOOD_FILES)), st.data())
def test_deleted_duplicated_moved_and_corrupted_lines_have_findings_or_stay_safe(
    file: str, data: st.DataObject
) -> None:
    lines = GOOD_FILES[file].split("\n")
    for _ in range(data.draw(st.integers(1, 3))):
        source = data.draw(st.integers(0, len(lines) - 1))
        target = data.draw(st.integers(0, len(lines) - 1))
        mutation = data.draw(st.sampled_from(["delete", "duplicate", "move", "corrupt"]))
        line = lines[source]
        if mutation == "delete" and len(lines) > 1:
            del lines[source]
        elif mutation == "duplicate":
            lines.insert(target, line)
        elif mutation == "move":
            lines.insert(target, lines.pop(source))
        elif line:
            index = data.draw(st.integers(0, len(line) - 1))
            lines[source] = (
                line[:index] + data.draw(st.sampled_from(list('"[]=.#{}-x0 \0é'))) + line[index + 1 :]
            )
    with tempfile.TemporaryDirectory() as name:
        write_files(Path(name), {**GOOD_FILES, file: "\n".join(lines)})
        for other in GOOD_FILES:
            assert_safe(Path(name), other)
