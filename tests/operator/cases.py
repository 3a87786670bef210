"""Reads the corpus of configurations (`tests/corpus`) and writes its cases into folders."""

from __future__ import annotations

import re
from dataclasses import dataclass, field
from pathlib import Path

CORPUS = Path(__file__).parent.parent / "corpus"

_FILE_HEADER = re.compile(r"-- (\S+)(?: \((escaped|none|lines (\d+))\)| -> (\S+))? --")


@dataclass(slots=True)
class Case:
    """One configuration folder, and the findings that are expected on it."""

    title: str
    files: dict[str, bytes] = field(default_factory=dict)
    links: dict[str, str] = field(default_factory=dict)  # targets of symbolic links
    omitted: set[str] = field(default_factory=set)  # files of the base case that this one does not have
    expected: list[str] = field(default_factory=list)

    def write_to(self, folder: Path) -> None:
        """Write the case into an empty folder; ROOT in a file is replaced by the folder's path."""
        files = {**BASE.files, **self.files}
        if self is not BASE and not any(
            b'"base.toml"' in data or b"/base.toml" in data for data in self.files.values()
        ):
            files.pop("base.toml")
        for name in files.keys() - self.omitted:
            path = folder / name
            path.parent.mkdir(parents=True, exist_ok=True)
            path.write_bytes(files[name].replace(b"ROOT", str(folder).encode()))
        for name, target in self.links.items():
            (folder / name).symlink_to(target)


def _parse(text: str, title: str) -> Case:
    """Parse one case; `tests/corpus/README.md` describes the format."""
    case = Case(title)
    name, form, lines = "", "", list[str]()

    def finish_file() -> None:
        if not name:
            return
        body = "".join(f"{line}\n" for line in lines)
        if form == "none":
            case.omitted.add(name)
        elif form == "escaped":
            case.files[name] = "".join(lines).encode().decode("unicode_escape").encode("latin-1")
        else:
            case.files[name] = (body * int(form.removeprefix("lines ") or 1)).encode()

    for line in text.splitlines():
        header = _FILE_HEADER.fullmatch(line)
        if header is not None and header[4]:
            case.links[header[1]] = header[4]
        elif header is not None:
            finish_file()
            name, form, lines = header[1], header[2] or "", []
        elif line.startswith("> "):
            case.expected.append(line[2:])
        else:
            lines.append(line)
    finish_file()
    return case


BASE = _parse((CORPUS / "_base.txt").read_text(), "base")


def load_cases() -> list[Case]:
    """Return all cases of broken configurations."""
    cases = []
    for path in sorted(CORPUS.glob("*.cases")):
        for section in path.read_text().split("=== ")[1:]:
            title, _, text = section.partition("\n")
            cases.append(_parse(text, f"{path.stem}: {title}"))
    return cases
