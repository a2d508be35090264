"""The other coordinators that this one knows: who is alive, and what they last said of themselves.

Alive is two-way: a peer is alive when it recently echoed one of our own pings. One that we hear but that
doesn't hear us isn't. A ping's counter is its sender's clock in milliseconds, so that an echo tells its age.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from coveport.serving.replication.identity import UNKNOWN_LOCALITY, Locality, MemberId
from coveport.serving.replication.messages import Ping
from coveport.serving.replication.timings import Timings

FORGET_S = (
    60.0  # a peer that was never or not for so long heard is no longer called, unless it is in the view
)


@dataclass(frozen=True, slots=True)
class StateOnItsWay:
    """A whole state that was sent to a peer."""

    sequence: int
    until_s: float  # by then it has arrived, or is lost

    def is_awaited(self, committed: int, now_s: float) -> bool:
        """Whether it may still arrive at a peer that knows the state of `committed`."""
        return committed < self.sequence and now_s < self.until_s


@dataclass(slots=True)
class Peer:
    """One address."""

    address: str
    added_at_s: float
    identity: MemberId | None = None
    ping: Ping | None = None
    heard_counter: int = 0
    echoed_at_s: float = float("-inf")  # when the newest ping of ours that it echoed was sent
    alive_since_s: float = 0.0
    served_at_s: float = float("-inf")  # when it was last sent something that it lacked
    sent_state: StateOnItsWay | None = None  # the whole state that it was last sent
    pinged_at_s: float = float("-inf")  # when we last sent it a ping

    @property
    def locality(self) -> Locality:
        """Where it stands, as far as it said."""
        return self.ping.locality if self.ping else UNKNOWN_LOCALITY


class Peers:
    """All addresses other than our own."""

    def __init__(self, own_id: MemberId, timings: Timings, now_s: float) -> None:
        self._own_id = own_id
        self._timings = timings
        self._peers: dict[str, Peer] = {}
        self.awake_since_s = now_s

    def add(self, address: str, now_s: float) -> None:
        """Know of an address from now on."""
        if address and address != self._own_id.address and address not in self._peers:
            self._peers[address] = Peer(address, now_s)

    def forget(self, kept: set[str], now_s: float) -> None:
        """Drop those that were silent for long and aren't in `kept`."""
        for peer in list(self._peers.values()):
            last_s = max(peer.echoed_at_s, peer.added_at_s)
            if peer.address not in kept and now_s - last_s > FORGET_S:
                del self._peers[peer.address]

    def __iter__(self) -> Iterator[Peer]:
        return iter(list(self._peers.values()))

    def get(self, address: str) -> Peer | None:
        """The peer at an address."""
        return self._peers.get(address)

    def heard(self, now_s: float, sender: MemberId, ping: Ping) -> Peer:
        """Note a ping."""
        self.add(sender.address, now_s)
        peer = self._peers[sender.address]
        was_alive = self._is_alive(peer, now_s) and peer.identity == sender
        if peer.identity != sender:
            peer.echoed_at_s = float("-inf")
            peer.sent_state = None
        peer.identity = sender
        peer.ping = ping
        peer.heard_counter = ping.counter
        echoed_at_s = ping.echo / 1000.0
        if echoed_at_s <= now_s:
            peer.echoed_at_s = max(peer.echoed_at_s, echoed_at_s)
        if not was_alive:
            peer.alive_since_s = now_s
        for address in ping.reaches:
            self.add(address, now_s)
        return peer

    def _is_alive(self, peer: Peer, now_s: float) -> bool:
        return now_s - peer.echoed_at_s < self._timings.suspect_s

    def is_alive(self, member: MemberId, now_s: float) -> bool:
        """Whether this very member hears us and we it. We ourselves are."""
        if member == self._own_id:
            return True
        peer = self._peers.get(member.address)
        return peer is not None and peer.identity == member and self._is_alive(peer, now_s)

    def is_fresh(self, member: MemberId, now_s: float) -> bool:
        """Whether it was heard a short while ago, not just within the time after which it's suspected.

        One that hears nobody any more loses its peers one after the other; the last ones look alive a little
        longer, and an attempt with them would only hold the others up.
        """
        return member == self._own_id or self.silent_s(member, now_s) < self._timings.fresh_s

    def is_suspect(self, member: MemberId, now_s: float) -> bool:
        """Whether it has been silent for too long, counted only while we were awake."""
        awake_s = now_s - self.awake_since_s
        return awake_s >= self._timings.suspect_s and not self.is_alive(member, now_s)

    def silent_s(self, member: MemberId, now_s: float) -> float:
        """For how long it has been silent while we were awake."""
        if member == self._own_id:
            return 0.0
        peer = self._peers.get(member.address)
        last_s = peer.echoed_at_s if peer is not None and peer.identity == member else float("-inf")
        return now_s - max(last_s, self.awake_since_s)

    def is_replaced(self, member: MemberId) -> bool:
        """Whether another disk answers at its address: this member will never come back."""
        peer = self._peers.get(member.address)
        return peer is not None and peer.identity is not None and peer.identity != member

    def ping_of(self, member: MemberId, now_s: float) -> Ping | None:
        """What a live member last said."""
        if member == self._own_id or not self.is_alive(member, now_s):
            return None
        peer = self._peers[member.address]
        return peer.ping

    def locality_of(self, member: MemberId) -> Locality:
        """Where it stands, as far as known."""
        peer = self._peers.get(member.address)
        return peer.locality if peer is not None else UNKNOWN_LOCALITY

    def alive(self, now_s: float) -> list[Peer]:
        """Those alive now."""
        return [peer for peer in self._peers.values() if self._is_alive(peer, now_s)]
