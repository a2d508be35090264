"""The process in which atheris runs a target.

    python -m coveport.testbed.fuzz.guided TARGET FINDS CORPUS [libFuzzer's arguments]

Each kind of find is written to the file FINDS once, a JSON object a line, and the run goes on.
"""

from __future__ import annotations

import importlib
import json
import random
import sys
from pathlib import Path

import atheris

from coveport.testbed.fuzz import UNDER_TEST

OURS = 0.5  # share of mutations that are ours; libFuzzer's know nothing of lines and figures ...
AFRESH = 0.1  # ... and of those that begin at the corpus: what takes no step of its own is soon forgotten


def main() -> None:
    """Run until libFuzzer ends the process."""
    name, report, corpus = sys.argv[1:4]
    # Importing them is what instruments them: nothing of them may be imported before.
    with atheris.instrument_imports(include=list(UNDER_TEST[name])):
        for module in UNDER_TEST[name]:
            importlib.import_module(module)
    from coveport.testbed.fuzz import run

    target, met = run.named(name), dict[str, None]()
    mutator = run.Mutator("", run.load(Path(corpus)), run.words(target))

    def one(data: bytes) -> None:
        find = run.attempt(target, data)
        if find is not None and find.kind not in met:
            met[find.kind] = None
            with open(report, "a", encoding="utf-8") as file:
                file.write(json.dumps({"kind": find.kind, "text": find.text, "data": find.data.hex()}) + "\n")

    def mutate(data: bytes, most: int, seed: int) -> bytes:
        rng = random.Random(seed)
        share = rng.random()
        if share >= OURS:
            return bytes(atheris.Mutate(data, most))
        mutator.reseed(rng.getrandbits(64))
        return (next(iter(mutator)) if share < OURS * AFRESH else mutator.mutated(data))[:most]

    atheris.Setup([sys.argv[0], *sys.argv[4:]], one, custom_mutator=mutate)
    atheris.Fuzz()


if __name__ == "__main__":
    main()
