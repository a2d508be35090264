"""Owns the table of the other coordinators: whether each is alive, and the status in its newest ping.

A peer is alive while contact is two-way, that is, while the peer has recently echoed a ping of this
coordinator. A peer whose pings arrive but which doesn't receive this coordinator's pings isn't alive. The
counter of a ping is the sender's clock in milliseconds, so the sender can compute the age of an echo.
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
    deadline_s: float  # the snapshot counts as lost after this time

    def is_pending(self, committed: int, now_s: float) -> bool:
        """Return whether the snapshot may still arrive at a peer that has the state of `committed`."""
        return committed < self.sequence and now_s < self.deadline_s


@dataclass(slots=True)
class Peer:
    """The coordinator at one inner address."""

    address: str
    identity: MemberId | None = None
    ping: Ping | None = None  # the newest ping from this peer
    last_counter: int = 0  # counter of the newest ping from this peer
    echoed_at_s: float = float("-inf")  # when the newest ping that this peer echoed was sent
    alive_since_s: float = 0.0
    last_catch_up_at_s: float = float("-inf")  # when a missing view or state was last sent to this peer
    snapshot: PendingSnapshot | None = None  # the last complete state sent to this peer
    last_ping_at_s: float = float("-inf")  # when a ping was last sent to this peer

    @property
    def locality(self) -> Locality:
        """The failure domains that this peer's newest ping names."""
        return self.ping.locality if self.ping else UNKNOWN_LOCALITY


class Peers:
    """All known coordinators other than this coordinator, by address."""

    def __init__(self, own_id: MemberId, timings: Timings, now_s: float) -> None:
        self._own_id = own_id
        self._timings = timings
        self._peers: dict[str, Peer] = {}
        self._awake_since_s = now_s

    def __iter__(self) -> Iterator[Peer]:
        return iter(list(self._peers.values()))

    def add(self, address: str) -> None:
        """Add an address, unless the address is empty, known already or this coordinator's own."""
        if address and address != self._own_id.address and address not in self._peers:
            self._peers[address] = Peer(address)

    def restart_timers(self, now_s: float) -> None:
        """Restart the timers of lost contact: the process was frozen, the peers weren't silent."""
        self._awake_since_s = now_s

    def get(self, address: str) -> Peer | None:
        """Return the peer at an address; None if the address is unknown."""
        return self._peers.get(address)

    def record_ping(self, now_s: float, sender: MemberId, ping: Ping) -> Peer:
        """Record a ping, add the addresses that the ping names, and return the peer that sent the ping."""
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
        """Return whether contact with the member, on the same disk, is two-way; True for this coordinator."""
        if member == self._own_id:
            return True
        peer = self._peers.get(member.address)
        return peer is not None and peer.identity == member and self._is_alive(peer, now_s)

    def is_fresh(self, member: MemberId, now_s: float) -> bool:
        """Return whether the last contact is younger than `max_contact_age_s`, which is below `suspect_s`.

        A coordinator that is cut off loses its peers one after the other. The last peers still count as alive
        for a moment; an election that relies on them would fail and delay the other members.
        """
        return member == self._own_id or self.since_contact_s(member, now_s) < self._timings.max_contact_age_s

    def is_suspect(self, member: MemberId, now_s: float) -> bool:
        """Return whether a member isn't alive although this process has run unfrozen for `suspect_s`."""
        awake_s = now_s - self._awake_since_s
        return awake_s >= self._timings.suspect_s and not self.is_alive(member, now_s)

    def since_contact_s(self, member: MemberId, now_s: float) -> float:
        """Return the seconds since the last contact, but at most since this process started or last froze."""
        if member == self._own_id:
            return 0.0
        peer = self._peers.get(member.address)
        last_s = peer.echoed_at_s if peer is not None and peer.identity == member else float("-inf")
        return now_s - max(last_s, self._awake_since_s)

    def is_replaced(self, member: MemberId) -> bool:
        """Return whether the member's address now has another disk, so that the member never comes back."""
        peer = self._peers.get(member.address)
        return peer is not None and peer.identity is not None and peer.identity != member

    def ping_of(self, member: MemberId, now_s: float) -> Ping | None:
        """Return the newest ping of a live peer; None if the member isn't alive or is this coordinator."""
        if member == self._own_id or not self.is_alive(member, now_s):
            return None
        peer = self._peers[member.address]
        return peer.ping

    def locality_of(self, member: MemberId) -> Locality:
        """Return a member's failure domains, from the newest ping from its address."""
        peer = self._peers.get(member.address)
        return peer.locality if peer is not None else UNKNOWN_LOCALITY

    def alive(self, now_s: float) -> list[Peer]:
        """Return the peers that are alive."""
        return [peer for peer in self._peers.values() if self._is_alive(peer, now_s)]
