"""Streams of chance, each named by what it is for. Pure: the same names always give the same draws."""

from __future__ import annotations

import hashlib
import random

import numpy as np

from coveport.testbed.tables import Figure


def stream(seed: int, *names: object) -> random.Random:
    """For single draws."""
    return random.Random(" ".join(map(str, (seed, *names))))


def arrays(seed: int, *names: object) -> np.random.Generator:
    """For arrays of draws; as stable as numpy's own streams are."""
    told = hashlib.blake2b(" ".join(map(str, (seed, *names))).encode(), digest_size=32).digest()
    return np.random.Generator(np.random.PCG64([int.from_bytes(told[at : at + 4]) for at in range(0, 32, 4)]))


def ends(figure: Figure) -> tuple[float, float]:
    """The lowest and the highest that a figure may be."""
    return figure if isinstance(figure, tuple) else (figure, figure)


def drawn(chance: random.Random, figure: Figure) -> float:
    """A figure drawn evenly; takes one draw even where it is a plain number."""
    low, high = ends(figure)
    return float(low + chance.random() * (high - low))
