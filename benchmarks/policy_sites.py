"""Deployments of our own, derived from a given one: what a policy must not lose on.

    python -m benchmarks.policy_sites SITE OUT

Writes one folder a variant into OUT, each with a site file and the file of wire names that it needs.
The given file is read and changed as text; nothing of it is kept in the repository.

| variant | what differs |
| --- | --- |
| long-prompts | prompts three times as long, a third as many requests |
| slow-third | every third model server is 1.6 times as slow, and tells nobody |
| far-regions | three times the way between regions; the smallest region has half of its servers |
| short-prompts | prompts a quarter as long, 1.3 times as many requests |
"""

from __future__ import annotations

import re
import shutil
import sys
from collections.abc import Callable
from pathlib import Path

SLOW = "[1.0, 1.0, 1.6]"
"""How many times as long each third server works."""

Change = Callable[[str], str]


def scaled(text: str, pattern: str, factor: float) -> str:
    """The text with each number that the pattern's one group finds multiplied."""

    def replace(match: re.Match[str]) -> str:
        at, to = match.start(1) - match.start(), match.end(1) - match.start()
        value = float(match[1]) * factor
        number = f"{value:.1f}" if "." in match[1] else str(max(1, round(value)))
        return match[0][:at] + number + match[0][to:]

    return re.sub(pattern, replace, text)


def with_prompts(text: str, factor: float) -> str:
    """Prompts so many times as long: the parts that are shared, the own ones, and their bytes."""
    for field in ("tokens", "prompt_tokens"):
        for number in ("mean", "max"):
            text = scaled(text, rf"\b{field} = {{[^}}]*\b{number} = ([0-9.]+)", factor)
    return text


def with_rate(text: str, factor: float) -> str:
    """So many times as many requests."""
    return scaled(text, r"\bper_s = ([0-9.]+), clients", factor)


def long_prompts(text: str) -> str:
    """Few requests with long prompts."""
    return with_rate(with_prompts(text, 3.0), 1 / 3)


def short_prompts(text: str) -> str:
    """Many requests with short prompts."""
    return with_rate(with_prompts(text, 0.25), 1.3)


def slow_third(text: str) -> str:
    """Servers that differ in speed."""
    return re.sub(r"\bspeeds = \[[^]]*\]", f"speeds = {SLOW}", text)


def far_regions(text: str) -> str:
    """A long way, and a smallest region that is smaller still."""
    text = scaled(text, r"\bcross_region_ms = ([0-9.]+)", 3.0)
    counts = [int(found) for found in re.findall(r'{ zone = "[^"]+", count = ([0-9]+) }', text)]
    fewest = min((count for count in counts if count > 1), default=1)
    return scaled(text, rf'{{ zone = "[^"]+", count = ({fewest}) }}', 0.5)


VARIANTS: dict[str, Change] = {
    "long-prompts": long_prompts,
    "slow-third": slow_third,
    "far-regions": far_regions,
    "short-prompts": short_prompts,
}


def write_variants(site: Path, out: Path) -> list[Path]:
    """Write all variants of a site; the files that were written."""
    text = site.read_text()
    written = []
    for name, change in VARIANTS.items():
        folder = out / f"{site.stem}-{name}"
        folder.mkdir(parents=True, exist_ok=True)
        for beside in ("wire.json", "CUT"):
            if (site.parent / beside).exists():
                shutil.copyfile(site.parent / beside, folder / beside)
        path = folder / f"{site.stem}-{name}.toml"
        path.write_text(change(text).replace(f'name = "{site.stem}"', f'name = "{path.stem}"', 1))
        written.append(path)
    return written


def main() -> int:
    """Write, and name what was written."""
    if len(sys.argv) != 3:
        print(__doc__)
        return 2
    for path in write_variants(Path(sys.argv[1]), Path(sys.argv[2])):
        print(path)
    return 0


if __name__ == "__main__":
    sys.exit(main())
