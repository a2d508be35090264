"""Work in hand, wired: recorder and takers beside one sidecar, where an operator's file asks for them."""

from __future__ import annotations

import random
import time
from collections.abc import Callable

import msgspec

from coveport.sidecar.config.operator import OperatorFile
from coveport.sidecar.config.platform import Config
from coveport.sidecar.effects import Effects
from coveport.sidecar.intent_log.encryption import Kept, Seal, read_keys
from coveport.sidecar.intent_log.journal import Journal
from coveport.sidecar.intent_log.presence import Presence
from coveport.sidecar.intent_log.record_layout import RecordLayout
from coveport.sidecar.intent_log.recorder import Recorder
from coveport.sidecar.intent_log.sharing import Pace
from coveport.sidecar.intent_log.takeover_worker import Takers
from coveport.sidecar.intent_log.terms import WorkTerms
from coveport.sidecar.leases.clock import boot_s
from coveport.sidecar.leases.keys import INSTANCE_PREFIX
from coveport.sidecar.leases.lease_client import LeaseClient
from coveport.sidecar.leases.open_store import open_record_store
from coveport.sidecar.leases.store import Entry

BUSY_MOST = 16  # own operations open, above which others' records wait
BURST = 16
MORE_S = 1.0  # beyond the longest deadline: what a planned end takes


class _Word(msgspec.Struct):
    incarnation: str = ""


def terms_of(told: OperatorFile) -> WorkTerms:
    """`[work]` of the file."""
    work = told.work
    return WorkTerms(
        frozenset(work.record),
        frozenset(work.refuse),
        work.by_request_id,
        work.kept_s,
        work.body_most,
        work.pace,
    )


def kept_of(told: OperatorFile) -> Kept:
    """What is kept of requests and answers; SealError where the key file can't be used."""
    seal = None if told.key_file is None else Seal(read_keys(told.key_file))
    return Kept(seal, told.work.body_most)


class Recording:
    """The recorder and the takers of one instance."""

    def __init__(
        self,
        told: OperatorFile,
        config: Config,
        lease_client: LeaseClient,
        incarnation: str,
        say: Callable[..., None],
        chance: random.Random,
    ) -> None:
        self._told = told
        self._config = config
        self._lease_client = lease_client
        self._incarnation = incarnation
        self._say = say
        self._chance = chance
        self._kept = kept_of(told)
        self._terms = terms_of(told)
        self.presence = Presence(incarnation, told.leases.ttl)
        self.recorder: Recorder | None = None
        self.takers: Takers | None = None

    def joined(self, effects: Effects) -> None:
        """The sidecar's parts are there."""
        counters = effects.counters
        journal = Journal(
            open_record_store(self._told, self._terms.call_s), boot_s, self._terms.call_s, self._say
        )
        layout = RecordLayout(self._told.work_prefix, self._terms.kept_s)
        self.recorder = recorder = Recorder(
            effects,
            journal,
            layout,
            self._kept,
            self.presence,
            self._terms,
            self._incarnation,
            session=self._token,
            now_s=boot_s,
            chance=self._chance,
            count=counters.add,
            say=self._say,
        )
        self.takers = Takers(
            recorder,
            self._lease_client.name,
            pace=Pace(self._terms.pace, BURST),
            now_s=boot_s,
            unix_s=time.time,
            chance=self._chance,
            count=counters.add,
            say=self._say,
            busy=lambda: effects.pending > BUSY_MOST,
        )
        effects.records = recorder
        counters.gauge("work_open", lambda: recorder.tables["work_open"])
        counters.gauge("work_later", lambda: recorder.tables["work_later"])
        counters.gauge("work_groups", lambda: journal.groups)
        counters.gauge("work_writes", lambda: journal.written)
        counters.gauge("work_bytes", lambda: journal.bytes)
        counters.gauge("work_store_calls", lambda: journal.calls)
        counters.gauge("work_store_away", lambda: int(not journal.up))

    def _token(self) -> int:
        if not self._lease_client.lease_state.in_session:
            return 0
        entry = self._lease_client.entries.get(INSTANCE_PREFIX + self._lease_client.name)
        return entry.created if entry is not None else 0

    def serving(self) -> None:
        """Operations come from here on."""
        if self.recorder is not None and self.takers is not None:
            self.recorder.start()
            self.takers.start()

    def changed(self, key: str, entry: Entry | None) -> None:
        """Something in the leases' store has changed."""
        if not key.startswith(INSTANCE_PREFIX):
            return
        name = key[len(INSTANCE_PREFIX) :]
        if entry is not None:
            try:
                word = msgspec.json.decode(entry.value, type=_Word).incarnation
            except (msgspec.DecodeError, msgspec.ValidationError):
                word = ""
            if word:
                if self.takers is not None and self.presence.incarnation(name) not in ("", word):
                    self.takers.gone(self.presence.gone(boot_s(), name))
                self.presence.here(name, word)
        elif self.takers is not None:
            self.takers.gone(self.presence.gone(boot_s(), name))

    async def leaving(self) -> None:
        """The sidecar is told to end; before its session is given back."""
        if self.takers is not None and self.recorder is not None:
            self.takers.stop()
            longest_s = max(one.deadline_ms for one in self._config.settings.classes) / 1000
            await self.recorder.leaving(longest_s + MORE_S)

    async def left(self) -> None:
        """It has answered all that it could."""
        if self.recorder is not None:
            await self.recorder.left()
