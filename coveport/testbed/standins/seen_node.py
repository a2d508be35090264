"""A ledger node as discovery sees it, on any ground: late, and never what was overtaken meanwhile. Pure."""

from __future__ import annotations

from coveport.testbed.day import NEVER, Change, Day


class SeenNode:
    """What is true of a node, what will be seen of it next, what was seen last. Times in ms of the day."""

    __slots__ = ("alive", "born", "coming", "leaving", "news", "seen", "silent", "version")

    def __init__(self, alive: bool) -> None:
        self.alive = alive
        self.born = NEVER
        self.leaving = False
        self.silent: set[int] = set()  # faults
        self.coming = self.seen = self.state  # what will be seen if nothing more happens, what was seen last
        self.news = 0  # tells later news from earlier: what was overtaken is never seen
        self.version = 0  # of what was seen

    @property
    def state(self) -> tuple[str, float]:
        """What is listed of it now, and since when it runs."""
        if not self.alive or self.silent:
            return "left", self.born
        return ("leaving" if self.leaving else "active"), self.born

    def change(self, change: Change, now: float, day: Day) -> float | None:
        """One of the node's changes; in how long `notice` is due with `news`, None: nothing new is coming."""
        delay = day.add_ms
        if change.what == "die":
            self.alive, self.leaving, delay = False, False, day.notice_ms
        elif change.what == "start":
            self.alive = True
            self.leaving = False
            self.born = now
        elif change.what == "leaving":
            self.leaving = change.on and self.alive
            delay = 0.0 if change.on else delay
        elif change.on:
            self.silent.add(change.fault)
            delay = 2 * day.notice_ms
        else:
            self.silent.discard(change.fault)
        if self.state == self.coming:
            return None
        self.coming = self.state
        self.news += 1
        return delay

    def notice(self, news: int) -> bool:
        """Whether something is seen that was not: not where it was overtaken by later news."""
        if news != self.news or self.seen == self.coming:
            return False
        self.seen = self.coming
        self.version += 1
        return True
