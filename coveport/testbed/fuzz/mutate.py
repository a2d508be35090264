"""A seeded mutator of bytes: the same seed gives the same inputs, on any machine. Pure."""

from __future__ import annotations

import random
import re
from collections.abc import Callable, Iterator, Sequence

MOST = 4096  # bytes of what is made ...
HUGE = 70_000  # ... but for a few that go for the limits
HUGE_SHARE = 0.003

_NUMBER = re.compile(rb"[0-9]+")
_NUMBERS = (
    b"0",
    b"1",
    b"-1",
    b"00",
    b"1e400",
    b"0.5",
    b"127",
    b"255",
    b"256",
    b"65535",
    b"65536",
    b"2147483648",
    b"4294967296",
    b"9" * 18,
    b"9" * 19,
    b"9" * 400,
    b"NaN",
    b"Infinity",
    b"1_0",
    b"0x1",
    b"+1",
    b"",
)
_BYTES = b"\x00\x01\t\n\x0b\r\x1f !\"#%',-./:;<=>?[\\]{}~\x7f\x80\x85\xa0\xc3\xff"


def read_dictionary(text: str) -> list[bytes]:
    r"""The words of a dictionary in libFuzzer's form.

    One a line, `"..."` or `name="..."`, with `\xAB`, `\\` and `\"`. Lines that are empty or begin with `#`
    are passed over; ValueError names one that is none of these.
    """

    def byte(match: re.Match[str]) -> str:
        return chr(int(match[1][1:], 16)) if match[1][0] == "x" else match[1]

    words = []
    for number, line in enumerate(text.splitlines(), 1):
        line = line.strip()
        if not line or line.startswith("#"):
            continue
        match = re.fullmatch(r'(?:\w+=)?"((?:[^"\\]|\\\\|\\"|\\x[0-9A-Fa-f]{2})+)"', line)
        if not match:
            raise ValueError(f"line {number}: {line!r} is no word of a dictionary")
        words.append(re.sub(r'\\(\\|"|x..)', byte, match[1]).encode("latin-1"))
    return words


class Mutator:
    """Makes inputs out of a corpus and a dictionary, for ever."""

    def __init__(self, seed: str, corpus: Sequence[bytes], words: Sequence[bytes]) -> None:
        """`seed`: all chance comes of it. An empty corpus stands for one empty input."""
        self._rng = random.Random(seed)
        self._corpus = list(corpus) or [b""]
        self._words = list(words) or [b"\0"]
        self._ways: tuple[Callable[[bytes], bytes], ...] = (
            self._flip,
            self._put,
            self._drop,
            self._double,
            self._insert,
            self._insert,
            self._replace,
            self._splice,
            self._number,
            self._number,
            self._lines,
            self._lines,
            self._case,
            self._cut,
        )

    def __iter__(self) -> Iterator[bytes]:
        """Inputs without an end."""
        while True:
            yield self.mutated(self._rng.choice(self._corpus))

    def reseed(self, seed: int) -> None:
        """Let all chance come of another seed from here on."""
        self._rng.seed(seed)

    def mutated(self, data: bytes) -> bytes:
        """One input made out of another by a few changes."""
        for _ in range(min(12, int(self._rng.expovariate(0.4)) + 1)):
            data = self._rng.choice(self._ways)(data)[:MOST]
        if self._rng.random() < HUGE_SHARE:
            data = self._blow_up(data)
        return data

    def _at(self, data: bytes) -> int:
        return self._rng.randint(0, len(data))

    def _span(self, data: bytes) -> tuple[int, int]:
        low = self._at(data)
        return low, min(len(data), low + int(self._rng.expovariate(0.1)) + 1)

    def _flip(self, data: bytes) -> bytes:
        if not data:
            return data
        at = self._rng.randrange(len(data))
        return data[:at] + bytes([data[at] ^ 1 << self._rng.randrange(8)]) + data[at + 1 :]

    def _put(self, data: bytes) -> bytes:
        at = self._at(data)
        return data[:at] + bytes([self._rng.choice(_BYTES)]) + data[at + self._rng.randrange(2) :]

    def _drop(self, data: bytes) -> bytes:
        low, high = self._span(data)
        return data[:low] + data[high:]

    def _double(self, data: bytes) -> bytes:
        low, high = self._span(data)
        return data[:high] + data[low:high] * self._rng.choice((1, 1, 2, 9)) + data[high:]

    def _insert(self, data: bytes) -> bytes:
        at = self._at(data)
        return data[:at] + self._rng.choice(self._words) + data[at:]

    def _replace(self, data: bytes) -> bytes:
        low, high = self._span(data)
        return data[:low] + self._rng.choice(self._words) + data[high:]

    def _splice(self, data: bytes) -> bytes:
        other = self._rng.choice(self._corpus)
        return data[: self._at(data)] + other[self._at(other) :]

    def _number(self, data: bytes) -> bytes:
        places = [match.span() for match in _NUMBER.finditer(data)]
        if not places:
            return self._put(data)
        low, high = self._rng.choice(places)
        value = data[low:high]
        new = (
            b"%d" % max(0, int(value) + self._rng.choice((-1, 1)))
            if self._rng.random() < 0.4 and len(value) < 20
            else self._rng.choice(_NUMBERS)
        )
        return data[:low] + new + data[high:]

    def _lines(self, data: bytes) -> bytes:
        """Drop, double or move a line."""
        end = b"\r\n" if b"\r\n" in data else b"\n"
        lines = data.split(end)
        at, to = self._rng.randrange(len(lines)), self._rng.randrange(len(lines))
        way = self._rng.randrange(3)
        line = lines[at] if way == 1 else lines.pop(at)
        if way:
            lines.insert(to, line)
        return end.join(lines)

    def _case(self, data: bytes) -> bytes:
        low, high = self._span(data)
        return data[:low] + data[low:high].swapcase() + data[high:]

    def _cut(self, data: bytes) -> bytes:
        return data[: self._at(data)]

    def _blow_up(self, data: bytes) -> bytes:
        low, high = self._span(data)
        part = data[low:high] or b"a"
        size = self._rng.choice((500, 20_000, HUGE))
        return (data[:low] + part * (size // len(part)) + data[high:])[:HUGE]
