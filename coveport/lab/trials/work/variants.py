"""Desks, journals and takers that are broken on purpose, to show that the judge sees it."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from coveport.work.desk import Desk
from coveport.work.journal import Journal
from coveport.work.seal import Kept
from coveport.work.shelf import Shelf
from coveport.work.takers import Takers


def _plain() -> Kept:
    from coveport.lab.trials.work.sim import _Plain

    return _Plain()


@dataclass(frozen=True)
class WorkVariant:
    """What differs, and which of the judge's rules must find it."""

    name: str
    about: str
    rules: tuple[str, ...] = ()
    desk: type[Desk] = Desk
    journal: type[Journal] = Journal
    shelf: type[Shelf] = Shelf
    takers: type[Takers] = Takers
    kept: Callable[[], Kept] = _plain


SOUND = WorkVariant("sound", "the shipped program")

VARIANTS: dict[str, WorkVariant] = {}
