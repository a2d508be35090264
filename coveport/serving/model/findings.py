"""Faults found in an input, collected with their location and reported together."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class Finding:
    """A fault in an input: its location (a path such as `Routes[3].DeadlineMs`) and its description."""

    location: str
    message: str

    def __str__(self) -> str:
        return f"{self.location}: {self.message}" if self.location else self.message


class TooManyFindingsError(Exception):
    """An input has so many faults that reading it to its end would help nobody."""


@dataclass(slots=True)
class Findings:
    """All faults of one input, in the order in which they were found.

    `max_items`: the number of faults after which reading stops; None: it goes on to the end.
    """

    items: list[Finding] = field(default_factory=list)
    max_items: int | None = field(default=None, kw_only=True)

    def add(self, location: str, message: str) -> None:
        """Add a fault.

        Raises:
            TooManyFindingsError: there are `max_items` faults now.

        """
        self.items.append(Finding(location, message))
        if self.max_items is not None and len(self.items) >= self.max_items:
            raise TooManyFindingsError

    def __bool__(self) -> bool:
        return bool(self.items)

    def __iter__(self) -> Iterator[Finding]:
        return iter(self.items)

    def __str__(self) -> str:
        return "\n".join(map(str, self.items))


@dataclass(frozen=True, slots=True)
class Refusal:
    """The reason why there is no result. It is falsy, and returned, not raised: it is an ordinary outcome."""

    reason: str
    findings: tuple[Finding, ...] = ()

    def __bool__(self) -> bool:
        return False
