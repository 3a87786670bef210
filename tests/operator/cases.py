"""The corpus of configurations: reading its cases and laying them out."""

from __future__ import annotations

import re
from dataclasses import dataclass, field
from pathlib import Path

CORPUS = Path(__file__).parent.parent / "corpus"

_FILE = re.compile(r"-- (\S+)(?: \((escaped|none|lines (\d+))\)| -> (\S+))? --")


@dataclass(slots=True)
class Case:
    """One configuration folder, and what is wrong with it."""

    title: str
    files: dict[str, bytes] = field(default_factory=dict)
    links: dict[str, str] = field(default_factory=dict)
    without: set[str] = field(default_factory=set)  # of the files that all begin with
    expected: list[str] = field(default_factory=list)

    def lay(self, folder: Path) -> None:
        """Write it into an empty folder; ROOT in a file stands for that."""
        files = {**BASE.files, **self.files}
        if self is not BASE and not any(
            b'"base.toml"' in data or b"/base.toml" in data for data in self.files.values()
        ):
            files.pop("base.toml")
        for name in files.keys() - self.without:
            path = folder / name
            path.parent.mkdir(parents=True, exist_ok=True)
            path.write_bytes(files[name].replace(b"ROOT", str(folder).encode()))
        for name, target in self.links.items():
            (folder / name).symlink_to(target)


def _read(text: str, title: str) -> Case:
    case = Case(title)
    name, form, lines = "", "", list[str]()

    def end() -> None:
        if not name:
            return
        body = "".join(f"{line}\n" for line in lines)
        if form == "none":
            case.without.add(name)
        elif form == "escaped":
            case.files[name] = "".join(lines).encode().decode("unicode_escape").encode("latin-1")
        else:
            case.files[name] = (body * int(form.removeprefix("lines ") or 1)).encode()

    for line in text.splitlines():
        found = _FILE.fullmatch(line)
        if found is not None and found[4]:
            case.links[found[1]] = found[4]
        elif found is not None:
            end()
            name, form, lines = found[1], found[2] or "", []
        elif line.startswith("> "):
            case.expected.append(line[2:])
        else:
            lines.append(line)
    end()
    return case


BASE = _read((CORPUS / "_base.txt").read_text(), "base")


def cases() -> list[Case]:
    """All broken ones."""
    found = []
    for path in sorted(CORPUS.glob("*.cases")):
        for part in path.read_text().split("=== ")[1:]:
            title, _, text = part.partition("\n")
            found.append(_read(text, f"{path.stem}: {title}"))
    return found
