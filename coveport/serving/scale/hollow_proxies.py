"""Hollow proxies: many real subscriptions in one process, over real sockets, that take no traffic."""

from __future__ import annotations

import asyncio
import json
import random
import sys
from typing import Any

from coveport.net.transport import Net
from coveport.serving.log import create_logger
from coveport.serving.membership.leases import ProxyLease
from coveport.serving.model.node import NodeState
from coveport.serving.model.view import ControlView
from coveport.serving.proxy.coordinator_selection import CoordinatorSelector
from coveport.serving.proxy.subscription import Subscription
from coveport.serving.scale.worker_lines import Line, read_lines, write_line

CLIENTS_PORT = 8263
LOG_LEVEL = 40  # errors only


class HollowProxy:
    """One proxy's control side, and what it saw when."""

    def __init__(self, net: Net, told: Line, number: int, watched: set[str], log: Any) -> None:
        self._net = net
        self._told = told
        self._watched = watched
        self._log = log
        self.number = number
        self._address = f"{told['addresses'][number]}:{CLIENTS_PORT}"
        self._seen: set[str] = set()
        self._edition = 0
        self._evacuated: frozenset[str] = frozenset()
        self.view = ControlView()
        self._subscription: Subscription | None = None

    def start(self) -> None:
        """Begin a life: nothing is known."""
        chance = random.Random()
        seeds = list(self._told["seeds"])
        chance.shuffle(seeds)
        self._edition = 0
        self._evacuated = frozenset()
        self._seen.clear()
        self.view = ControlView()
        self.view.listeners.append(self._changed)
        selector = CoordinatorSelector(self._told["zone"], self._told["region"], tuple(seeds))
        life = int(self._net.unix_s() * 1000)

        def make_lease(round_number: int) -> ProxyLease:
            return ProxyLease(
                name=f"hollow-{self._address}",
                address=self._address,
                zone=self._told["zone"],
                region=self._told["region"],
                ready=bool(self.view.nodes),
                renewal=round_number,
                incarnation=life,
            )

        self._subscription = Subscription(self._net, self.view, selector, make_lease, self._log, chance)
        self._subscription.start()

    def stop(self) -> None:
        """Be gone, as a killed process is to the others."""
        if self._subscription is not None:
            self._subscription.stop()
            self._subscription = None

    @property
    def is_up(self) -> bool:
        """Whether it lives."""
        return self._subscription is not None

    def _changed(self) -> None:
        now = self._net.now_s()
        configuration = self.view.configuration
        if configuration is not None and configuration.edition != self._edition:
            self._edition = configuration.edition
            write_line({"saw": "edition", "what": str(self._edition), "at": now, "by": self._address})
        if self.view.evacuated_zones != self._evacuated:
            self._evacuated = self.view.evacuated_zones
            what = ",".join(sorted(self._evacuated))
            write_line({"saw": "evacuated", "what": what, "at": now, "by": self._address})
        for incarnation in self._watched - self._seen:
            known = self.view.nodes.get(incarnation)
            if known is None or known.node.state is NodeState.DRAINING:
                self._seen.add(incarnation)
                write_line({"saw": "closing", "what": incarnation, "at": now, "by": self._address})


class HollowProxies:
    """All of one process."""

    def __init__(self, net: Net, told: Line) -> None:
        self._net = net
        self._watched: set[str] = set()
        log = create_logger(net.now_s, LOG_LEVEL)
        self._proxies = [
            HollowProxy(net, told, number, self._watched, log) for number in range(len(told["addresses"]))
        ]

    def take(self, line: Line) -> None:
        """Do what the run says."""
        match line["do"]:
            case "start":
                for proxy in self._proxies:
                    proxy.start()
            case "watch":
                self._watched.clear()
                self._watched.update(line["incarnations"])
            case "lose":
                for number in line["numbers"]:
                    self._proxies[number].stop()
            case "restart":
                for number in line["numbers"]:
                    self._proxies[number].stop()
                    self._net.loop.call_later(line["after_s"], self._proxies[number].start)
            case "count":
                write_line({"counted": self._count()})

    def _count(self) -> Line:
        up = [proxy for proxy in self._proxies if proxy.is_up]
        return {
            "up": len(up),
            "nodes": [len(proxy.view.nodes) for proxy in up],
            "editions": [proxy.view.configuration.edition if proxy.view.configuration else 0 for proxy in up],
        }


async def _run(told: Line) -> None:
    net = Net(asyncio.get_running_loop())
    proxies = HollowProxies(net, told)
    await read_lines(proxies.take)


if __name__ == "__main__":
    asyncio.run(_run(json.loads(sys.argv[1])))
