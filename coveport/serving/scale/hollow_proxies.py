"""Hollow proxies: many real subscriptions in one process, over real sockets, without traffic."""

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
from coveport.serving.proxy.subscription import SelfReports, Subscription
from coveport.serving.scale.worker_messages import Message, read_messages, write_message

CLIENT_PORT = 8263
LOG_LEVEL = 40  # errors only


class HollowProxy:
    """The control-plane side of one proxy; reports each change that it observes."""

    def __init__(self, net: Net, settings: Message, number: int, watched: set[str], log: Any) -> None:
        self._net = net
        self._settings = settings
        self._watched = watched
        self._log = log
        self.number = number
        self._address = f"{settings['addresses'][number]}:{CLIENT_PORT}"
        self._reported_incarnations: set[str] = set()
        self._edition = 0
        self._evacuated: frozenset[str] = frozenset()
        self.view = ControlView()
        self._subscription: Subscription | None = None

    def start(self) -> None:
        """Start a new incarnation with an empty view."""
        rng = random.Random()
        seeds = list(self._settings["seeds"])
        rng.shuffle(seeds)
        self._edition = 0
        self._evacuated = frozenset()
        self._reported_incarnations.clear()
        self.view = ControlView()
        self.view.listeners.append(self._report_changes)
        selector = CoordinatorSelector(self._settings["zone"], self._settings["region"], tuple(seeds))
        incarnation = int(self._net.unix_s() * 1000)

        def make_lease(renewal: int) -> ProxyLease:
            return ProxyLease(
                name=f"hollow-{self._address}",
                address=self._address,
                zone=self._settings["zone"],
                region=self._settings["region"],
                ready=bool(self.view.nodes),
                renewal=renewal,
                incarnation=incarnation,
            )

        self._subscription = Subscription(
            self._net, self.view, selector, SelfReports(make_lease), self._log, rng
        )
        self._subscription.start()

    def stop(self) -> None:
        """Stop without notice, as a killed process does."""
        if self._subscription is not None:
            self._subscription.stop()
            self._subscription = None

    @property
    def is_up(self) -> bool:
        """Whether the proxy runs."""
        return self._subscription is not None

    def _report_changes(self) -> None:
        now = self._net.now_s()
        configuration = self.view.configuration
        if configuration is not None and configuration.edition != self._edition:
            self._edition = configuration.edition
            write_message({"saw": "edition", "what": str(self._edition), "at": now, "by": self._address})
        if self.view.evacuated_zones != self._evacuated:
            self._evacuated = self.view.evacuated_zones
            zones = ",".join(sorted(self._evacuated))
            write_message({"saw": "evacuated", "what": zones, "at": now, "by": self._address})
        for incarnation in self._watched - self._reported_incarnations:
            entry = self.view.nodes.get(incarnation)
            if entry is None or entry.node.state is NodeState.DRAINING:
                self._reported_incarnations.add(incarnation)
                write_message({"saw": "closing", "what": incarnation, "at": now, "by": self._address})


class HollowProxies:
    """All hollow proxies of one process."""

    def __init__(self, net: Net, settings: Message) -> None:
        self._net = net
        self._watched: set[str] = set()
        log = create_logger(net.now_s, LOG_LEVEL)
        self._proxies = [
            HollowProxy(net, settings, number, self._watched, log)
            for number in range(len(settings["addresses"]))
        ]

    def handle(self, message: Message) -> None:
        """Execute a command of the scale run."""
        match message["do"]:
            case "start":
                for proxy in self._proxies:
                    proxy.start()
            case "watch":
                self._watched.clear()
                self._watched.update(message["incarnations"])
            case "lose":
                for number in message["numbers"]:
                    self._proxies[number].stop()
            case "restart":
                for number in message["numbers"]:
                    self._proxies[number].stop()
                    self._net.loop.call_later(message["after_s"], self._proxies[number].start)
            case "count":
                write_message({"counted": self._count()})

    def _count(self) -> Message:
        up = [proxy for proxy in self._proxies if proxy.is_up]
        return {
            "up": len(up),
            "nodes": [len(proxy.view.nodes) for proxy in up],
            "editions": [proxy.view.configuration.edition if proxy.view.configuration else 0 for proxy in up],
        }


async def _run(settings: Message) -> None:
    net = Net(asyncio.get_running_loop())
    proxies = HollowProxies(net, settings)
    await read_messages(proxies.handle)


if __name__ == "__main__":
    asyncio.run(_run(json.loads(sys.argv[1])))
