"""Connects a sidecar's intent log to its executor and session, if the operator's file enables it."""

from __future__ import annotations

import random
from collections.abc import Callable

import msgspec

from coveport.sidecar.config.operator_file import OperatorFile
from coveport.sidecar.config.platform import Config
from coveport.sidecar.effects import Effects
from coveport.sidecar.intent_log.encryption import KeyRing, read_keys
from coveport.sidecar.intent_log.journal import Journal
from coveport.sidecar.intent_log.payloads import PayloadCodec
from coveport.sidecar.intent_log.presence import Presence
from coveport.sidecar.intent_log.record_layout import RecordLayout
from coveport.sidecar.intent_log.recorder import Recorder
from coveport.sidecar.intent_log.retention_sweeper import RetentionSweeper
from coveport.sidecar.intent_log.runtime import Runtime
from coveport.sidecar.intent_log.settings import IntentLogSettings
from coveport.sidecar.intent_log.takeover_worker import TakeoverWorker
from coveport.sidecar.intent_log.token_bucket import TokenBucket
from coveport.sidecar.leases.clock import boot_s
from coveport.sidecar.leases.keys import INSTANCE_PREFIX
from coveport.sidecar.leases.lease_client import LeaseClient
from coveport.sidecar.leases.open_store import open_record_store
from coveport.sidecar.leases.store import Entry

BUSY_ABOVE = 16  # pending operations above which an instance takes records over more slowly
TAKEOVER_BURST = 16  # records that may be taken over at once
DRAIN_MARGIN_S = 1.0  # time that a planned shutdown may take beyond the longest deadline


class _InstanceValue(msgspec.Struct):
    """The fields of an instance's session key that are read here."""

    incarnation: str = ""


def settings_of(operator_file: OperatorFile) -> IntentLogSettings:
    """Return the intent log's settings from the file's section `[work]`."""
    work = operator_file.work
    return IntentLogSettings(
        recorded_classes=frozenset(work.record),
        rejected_when_unavailable=frozenset(work.refuse),
        by_request_id=work.by_request_id,
        retention_s=work.kept_s,
        max_body_bytes=work.body_most,
        takeovers_per_s=work.pace,
    )


def payload_codec_of(operator_file: OperatorFile) -> PayloadCodec:
    """Return the codec for the file's keys; raise EncryptionError if the key file can't be used."""
    path = operator_file.key_file
    key_ring = None if path is None else KeyRing(read_keys(path))
    return PayloadCodec(key_ring, operator_file.work.body_most)


class Recording:
    """Owns the intent log of one instance: recorder, takeover worker and retention sweeper.

    Raises EncryptionError if the key file can't be used.
    """

    def __init__(
        self,
        operator_file: OperatorFile,
        config: Config,
        lease_client: LeaseClient,
        incarnation: str,
        log_event: Callable[..., None],
        rng: random.Random,
    ) -> None:
        self._operator_file = operator_file
        self._config = config
        self._lease_client = lease_client
        self._incarnation = incarnation
        self._log_event = log_event
        self._rng = rng
        self._codec = payload_codec_of(operator_file)
        self._settings = settings_of(operator_file)
        self.presence = Presence(incarnation, operator_file.leases.ttl)
        self.recorder: Recorder | None = None
        self.takeover_worker: TakeoverWorker | None = None
        self.sweeper: RetentionSweeper | None = None

    def attach(self, effects: Effects) -> None:
        """Create the parts and record the operations that `effects` executes."""
        counters = effects.counters
        runtime = Runtime(
            name=self._lease_client.name,
            incarnation=self._incarnation,
            session_token=self._session_token,
            now_s=boot_s,
            rng=self._rng,
            count=counters.add,
            log_event=self._log_event,
        )
        timeout_s = self._settings.store_timeout_s
        store = open_record_store(self._operator_file, timeout_s)
        journal = Journal(store, boot_s, timeout_s, self._log_event)
        layout = RecordLayout(self._operator_file.work_prefix, self._settings.retention_s)
        self.recorder = recorder = Recorder(
            effects, journal, layout, self._codec, self.presence, self._settings, runtime
        )
        self.takeover_worker = TakeoverWorker(
            recorder,
            TokenBucket(self._settings.takeovers_per_s, TAKEOVER_BURST),
            lambda: effects.pending > BUSY_ABOVE,
            runtime,
        )
        self.sweeper = RetentionSweeper(recorder, runtime)
        effects.recorder = recorder
        counters.gauge("work_open", lambda: recorder.tables["work_open"])
        counters.gauge("work_later", lambda: recorder.tables["work_later"])
        counters.gauge("work_groups", lambda: journal.groups)
        counters.gauge("work_writes", lambda: journal.written)
        counters.gauge("work_bytes", lambda: journal.bytes)
        counters.gauge("work_store_calls", lambda: journal.calls)
        counters.gauge("work_store_away", lambda: int(not journal.is_available))

    def _session_token(self) -> int:
        if not self._lease_client.lease_state.in_session:
            return 0
        entry = self._lease_client.entries.get(INSTANCE_PREFIX + self._lease_client.name)
        return entry.created if entry is not None else 0

    def start(self) -> None:
        """Start all parts; operations may arrive from now on."""
        if self.recorder is not None and self.takeover_worker is not None and self.sweeper is not None:
            self.recorder.start()
            self.takeover_worker.start()
            self.sweeper.start()

    def on_store_change(self, key: str, entry: Entry | None) -> None:
        """Follow the sessions in the leases' store; `entry` is None if the key was deleted."""
        if not key.startswith(INSTANCE_PREFIX):
            return
        name = key[len(INSTANCE_PREFIX) :]
        if entry is None:
            self._note_absent(name)
            return
        incarnation = _incarnation_in(entry)
        if not incarnation:
            return
        if self.presence.incarnation_of(name) not in ("", incarnation):
            self._note_absent(name)
        self.presence.add(name, incarnation)

    def _note_absent(self, name: str) -> None:
        if self.takeover_worker is not None:
            self.takeover_worker.owner_lost(self.presence.remove(boot_s(), name))

    async def drain(self) -> None:
        """Announce the shutdown; called before the session is released."""
        if self.recorder is None or self.takeover_worker is None or self.sweeper is None:
            return
        self.takeover_worker.stop()
        self.sweeper.stop()
        classes = self._config.settings.classes
        longest_s = max(request_class.deadline_ms for request_class in classes) / 1000
        await self.recorder.drain(longest_s + DRAIN_MARGIN_S)

    async def close(self) -> None:
        """Leave open records to the other instances; called when no more answers can be sent."""
        if self.recorder is not None:
            await self.recorder.close()


def _incarnation_in(entry: Entry) -> str:
    """Return the incarnation in the value of a session key; empty if it can't be decoded."""
    try:
        return msgspec.json.decode(entry.value, type=_InstanceValue).incarnation
    except (msgspec.DecodeError, msgspec.ValidationError):
        return ""
