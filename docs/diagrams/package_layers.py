"""Draw the layers of packages, from the import contracts in pyproject.toml, for docs/architecture.md.

    python docs/diagrams/package_layers.py            print the block
    python docs/diagrams/package_layers.py --write    put it into docs/architecture.md

A package may import those below it and none above; packages of one line know nothing of each other. A test
holds that the page has the block that this script draws, so the diagram can't go stale.
"""

from __future__ import annotations

import sys
import tomllib
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
PAGE = ROOT / "docs" / "architecture.md"
BEGIN = "<!-- drawn by docs/diagrams/package_layers.py -->\n"
END = "<!-- end of the drawing -->\n"


@dataclass(frozen=True, slots=True)
class Layers:
    """One contract on layers: its name, and the packages of each layer, the highest first."""

    name: str
    rows: tuple[tuple[str, ...], ...]


def read_layers(project: Path = ROOT / "pyproject.toml") -> list[Layers]:
    """Return the contracts of type `layers`, in the order of the file."""
    contracts = tomllib.loads(project.read_text())["tool"]["importlinter"]["contracts"]
    found = []
    for contract in contracts:
        if contract["type"] != "layers":
            continue
        prefix = "".join(f"{container}." for container in contract.get("containers", []))
        rows = tuple(
            tuple(prefix + package.strip() for package in layer.split("|")) for layer in contract["layers"]
        )
        found.append(Layers(contract["name"], rows))
    return found


def draw(layers: list[Layers]) -> str:
    """Return one block of text: a line a layer, highest first."""
    lines = ["```"]
    for number, contract in enumerate(layers):
        if number:
            lines.append("")
        lines.append(f"{contract.name}:")
        lines += ["    " + "   ".join(row) for row in contract.rows]
    return "\n".join([*lines, "```"]) + "\n"


def block(page: str) -> str:
    """Return what stands between the marks of a page; ValueError where the marks are missing."""
    if BEGIN not in page or END not in page:
        raise ValueError(f"expected {BEGIN.strip()} and {END.strip()} in the page")
    return page.partition(BEGIN)[2].partition(END)[0]


def main() -> None:
    """Print the block, or write it into the page."""
    drawing = draw(read_layers())
    if "--write" not in sys.argv[1:]:
        print(drawing, end="")
        return
    page = PAGE.read_text()
    PAGE.write_text(page.replace(BEGIN + block(page) + END, BEGIN + drawing + END))


if __name__ == "__main__":
    main()
