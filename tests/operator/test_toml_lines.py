"""Lines of keys: `key_lines` finds the same keys as `tomllib`, and the right lines."""

from __future__ import annotations

import tomllib

import pytest
from hypothesis import given
from hypothesis import strategies as st

from whinrouter.operator.toml_lines import key_lines, key_paths

_BARE_KEY = st.text("abcXYZ019_-", min_size=1, max_size=5)
_TEXT = st.text(st.characters(blacklist_categories=("Cs", "Cc")), max_size=8)


def _quoted(text: str) -> str:
    return '"' + text.replace("\\", "\\\\").replace('"', '\\"') + '"'


_KEY = st.one_of(
    _BARE_KEY, _TEXT.map(_quoted), st.text("abc .#[]={}", max_size=4).map(lambda text: f"'{text}'")
)
_VALUE = st.recursive(
    st.one_of(
        st.integers(-9, 99).map(str),
        st.sampled_from(["true", "1.5", "inf", "1979-05-27", "07:32:00", "0xff"]),
        _TEXT.map(_quoted),
        st.sampled_from(
            ["'a#]}b'", "''", '"""\na = 1\n[x]\n"""', "'''\n'] # b\n'''", '"""a\\"""" b"""', "'''x''''"]
        ),
    ),
    lambda values: st.one_of(
        st.lists(values, max_size=3).map(lambda parts: "[" + ", ".join(parts) + "]"),
        st.lists(values, min_size=1, max_size=3).map(
            lambda parts: "[ # c ]\n" + ",\n".join(parts) + ", # d\n]"
        ),
        st.dictionaries(_KEY, values, max_size=3).map(
            lambda pairs: "{ " + ", ".join(f"{key} = {value}" for key, value in pairs.items()) + " }"
        ),
    ),
    max_leaves=6,
)
_DOTTED_KEY = st.lists(_KEY, min_size=1, max_size=3).map(" . ".join)
_LINE = st.one_of(
    st.tuples(_DOTTED_KEY, _VALUE).map(lambda pair: f"{pair[0]} = {pair[1]}"),
    _DOTTED_KEY.map(lambda key: f"[{key}]"),
    _DOTTED_KEY.map(lambda key: f"[[ {key} ]] # a = [comment"),
    st.sampled_from(["", "# a = 1", "   "]),
)


@given(st.lists(_LINE, max_size=8), st.sampled_from(["\n", "\r\n"]))
def test_each_key_that_tomllib_finds_has_a_line(lines: list[str], line_end: str) -> None:
    text = line_end.join("\n".join(lines).split("\n"))
    try:
        values = tomllib.loads(text)
    except tomllib.TOMLDecodeError:
        return
    found = key_lines(text)
    assert set(key_paths(values)) == set(found)
    assert all(1 <= line <= text.count("\n") + 1 for line in found.values())


def test_lines_of_keys_in_tables_arrays_and_multiline_values() -> None:
    text = 'a = 1\n[b]\nc.d = """\nx\n"""\n"e f" = [\n 1,\n {g = 2}]\n[[h]]\ni = 1\n[[h]]\n[h.j]\nk = 1\n'
    found = key_lines(text)
    assert found["a",] == 1
    assert found["b", "c", "d"] == 3
    assert found["b", "e f", 1, "g"] == 8
    assert (found["h",], found["h", 0], found["h", 1]) == (9, 9, 11)
    assert found["h", 1, "j", "k"] == 13


@pytest.mark.parametrize("text", ["", "\n\n", "# nothing", "a=1"])
def test_each_key_of_a_short_text_has_a_line(text: str) -> None:
    assert set(key_lines(text)) == set(key_paths(tomllib.loads(text)))
