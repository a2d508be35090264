"""Owns the table of the other coordinators: who is alive, and what each last said of itself.

Alive is two-way: a peer is alive when it recently echoed one of our own pings. A peer that we hear but that
doesn't hear us isn't. A ping's counter is its sender's clock in milliseconds, so that an echo tells its age.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from coveport.serving.replication.identity import UNKNOWN_LOCALITY, Locality, MemberId
from coveport.serving.replication.messages import Ping
from coveport.serving.replication.timings import Timings

MS_PER_S = 1000


@dataclass(frozen=True, slots=True)
class PendingSnapshot:
    """A complete state that was sent to a peer."""

    sequence: int
    deadline_s: float  # by then it has arrived, or is lost

    def is_pending(self, committed: int, now_s: float) -> bool:
        """Return whether it may still arrive at a peer that has the state of `committed`."""
        return committed < self.sequence and now_s < self.deadline_s


@dataclass(slots=True)
class Peer:
    """One address."""

    address: str
    identity: MemberId | None = None
    ping: Ping | None = None  # the newest received
    last_counter: int = 0  # of that ping
    echoed_at_s: float = float("-inf")  # when the newest ping of ours that it echoed was sent
    alive_since_s: float = 0.0
    catch_up_at_s: float = float("-inf")  # when it was last sent something that it lacked
    snapshot: PendingSnapshot | None = None  # the complete state that it was last sent
    pinged_at_s: float = float("-inf")  # when it was last sent a ping

    @property
    def locality(self) -> Locality:
        """Where it runs, as far as it said."""
        return self.ping.locality if self.ping else UNKNOWN_LOCALITY


class Peers:
    """All addresses other than our own."""

    def __init__(self, own_id: MemberId, timings: Timings, now_s: float) -> None:
        self._own_id = own_id
        self._timings = timings
        self._peers: dict[str, Peer] = {}
        self._awake_since_s = now_s

    def __iter__(self) -> Iterator[Peer]:
        return iter(list(self._peers.values()))

    def add(self, address: str) -> None:
        """Add an address, unless it is known or our own."""
        if address and address != self._own_id.address and address not in self._peers:
            self._peers[address] = Peer(address)

    def restart_timers(self, now_s: float) -> None:
        """Count the time without contact from now: the process was frozen, not the peers silent."""
        self._awake_since_s = now_s

    def get(self, address: str) -> Peer | None:
        """Return the peer at an address."""
        return self._peers.get(address)

    def record_ping(self, now_s: float, sender: MemberId, ping: Ping) -> Peer:
        """Record a ping, and the addresses in it; return its sender."""
        self.add(sender.address)
        peer = self._peers[sender.address]
        was_alive = self._is_alive(peer, now_s) and peer.identity == sender
        if peer.identity != sender:
            peer.echoed_at_s = float("-inf")
            peer.snapshot = None
        peer.identity = sender
        peer.ping = ping
        peer.last_counter = ping.counter
        echoed_at_s = ping.echo / MS_PER_S
        if echoed_at_s <= now_s:
            peer.echoed_at_s = max(peer.echoed_at_s, echoed_at_s)
        if not was_alive:
            peer.alive_since_s = now_s
        for address in ping.reaches:
            self.add(address)
        return peer

    def _is_alive(self, peer: Peer, now_s: float) -> bool:
        return now_s - peer.echoed_at_s < self._timings.suspect_s

    def is_alive(self, member: MemberId, now_s: float) -> bool:
        """Return whether we have two-way contact with this very member. With ourselves we have."""
        if member == self._own_id:
            return True
        peer = self._peers.get(member.address)
        return peer is not None and peer.identity == member and self._is_alive(peer, now_s)

    def is_fresh(self, member: MemberId, now_s: float) -> bool:
        """Return whether the last contact is younger than `fresh_s`, which is less than `suspect_s`.

        A coordinator that is cut off loses its peers one after the other; the last ones look alive a little
        longer, and an election with them would only hold the others up.
        """
        return member == self._own_id or self.since_contact_s(member, now_s) < self._timings.fresh_s

    def is_suspect(self, member: MemberId, now_s: float) -> bool:
        """Return whether it has been without contact for too long, counted only while we were awake."""
        awake_s = now_s - self._awake_since_s
        return awake_s >= self._timings.suspect_s and not self.is_alive(member, now_s)

    def since_contact_s(self, member: MemberId, now_s: float) -> float:
        """Return the seconds since the last contact, counted only while we were awake."""
        if member == self._own_id:
            return 0.0
        peer = self._peers.get(member.address)
        last_s = peer.echoed_at_s if peer is not None and peer.identity == member else float("-inf")
        return now_s - max(last_s, self._awake_since_s)

    def is_replaced(self, member: MemberId) -> bool:
        """Return whether another disk answers at its address: this member will never come back."""
        peer = self._peers.get(member.address)
        return peer is not None and peer.identity is not None and peer.identity != member

    def ping_of(self, member: MemberId, now_s: float) -> Ping | None:
        """Return the newest ping of a live member; None for ourselves."""
        if member == self._own_id or not self.is_alive(member, now_s):
            return None
        peer = self._peers[member.address]
        return peer.ping

    def locality_of(self, member: MemberId) -> Locality:
        """Return where a member runs, as far as known."""
        peer = self._peers.get(member.address)
        return peer.locality if peer is not None else UNKNOWN_LOCALITY

    def alive(self, now_s: float) -> list[Peer]:
        """Return those alive now."""
        return [peer for peer in self._peers.values() if self._is_alive(peer, now_s)]
