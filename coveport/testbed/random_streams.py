"""Provide random streams, each named by its purpose. Pure: the same names always give the same draws."""

from __future__ import annotations

import hashlib
import random

import numpy as np

from coveport.testbed.tables import Figure

STATE_BYTES = 32  # of entropy for numpy's generator
WORD_BYTES = 4  # numpy takes its entropy as 32-bit words


def stream(seed: int, *names: object) -> random.Random:
    """Return a generator of single draws for a seed and a purpose."""
    return random.Random(" ".join(map(str, (seed, *names))))


def arrays(seed: int, *names: object) -> np.random.Generator:
    """Return a generator of arrays of draws for a seed and a purpose; as stable as numpy's own streams."""
    digest = hashlib.blake2b(" ".join(map(str, (seed, *names))).encode(), digest_size=STATE_BYTES).digest()
    words = [int.from_bytes(digest[at : at + WORD_BYTES]) for at in range(0, STATE_BYTES, WORD_BYTES)]
    return np.random.Generator(np.random.PCG64(words))


def ends(figure: Figure) -> tuple[float, float]:
    """Return the lowest and the highest value of a figure; both the same for a plain number."""
    return figure if isinstance(figure, tuple) else (figure, figure)


def drawn(generator: random.Random, figure: Figure) -> float:
    """Return a value drawn evenly from a figure; consumes one draw even for a plain number."""
    low, high = ends(figure)
    return float(low + generator.random() * (high - low))
