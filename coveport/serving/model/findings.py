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


@dataclass(slots=True)
class Findings:
    """All faults of one input, in the order in which they were found."""

    items: list[Finding] = field(default_factory=list)

    def add(self, location: str, message: str) -> None:
        """Add a fault."""
        self.items.append(Finding(location, message))

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
