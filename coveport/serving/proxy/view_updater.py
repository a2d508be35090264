"""Applies the updates of coordinators to a proxy's view.

The view never goes back: states are applied by rising sequence, reports on nodes by incarnation and sequence
number (`node_directory`). What can't be applied is requested again as a complete state.
"""

from __future__ import annotations

from coveport.serving.configuration.reader import read_document
from coveport.serving.configuration.state import ControlState, initial_state, without_singleton_state
from coveport.serving.configuration.state_codec import decode_state
from coveport.serving.configuration.state_machine import apply
from coveport.serving.log import EventLogger
from coveport.serving.membership.leases import ProxyLease
from coveport.serving.model.findings import Refusal
from coveport.serving.model.telemetry import ProxyTelemetry
from coveport.serving.model.view import INITIAL_MAX_PROXIES, ControlView
from coveport.serving.proxy.node_directory import NodeDirectory
from coveport.serving.replication.state_machine import Applied
from coveport.serving.wire.errors import MalformedMessageError
from coveport.serving.wire.messages import StateChange, Update, UpdateRequest
from coveport.serving.wire.versions import PROTOCOL_VERSION

NO_STATE_SEQUENCE = -1  # requests the complete state
NO_TENANTS = -1  # in the log: requests need no API key
NO_NODE_REVISION = -1  # requests the complete node table


class ViewUpdater:
    """The versions that a proxy has, and the view that they make."""

    def __init__(self, view: ControlView, log: EventLogger) -> None:
        self._view = view
        self._log = log
        self._state: ControlState = initial_state()
        self._sequence = NO_STATE_SEQUENCE
        self._table_id = ""
        self._node_revision = NO_NODE_REVISION
        self._has_full_table = False  # a coordinator that knows all nodes has sent the table in full
        self._directory = NodeDirectory()
        self._max_proxies = 0
        self.needs_full_state = False  # the last changes could not be applied, or the state not be decoded
        view.max_proxies = INITIAL_MAX_PROXIES

    @property
    def has_state(self) -> bool:
        """Whether any state was applied: without one the proxy can't serve."""
        return self._sequence >= 0

    def recently_deregistered(self, now_s: float) -> tuple[str, ...]:
        """Return the incarnations to name in the first request to a coordinator."""
        return self._directory.recently_deregistered(now_s)

    def request(
        self,
        lease: ProxyLease,
        request_number: int,
        deregistered: tuple[str, ...],
        telemetry: ProxyTelemetry | None,
    ) -> UpdateRequest:
        """Return the request for what is newer than the versions here."""
        sequence = NO_STATE_SEQUENCE if self.needs_full_state else self._sequence
        return UpdateRequest(
            lease,
            self._table_id,
            self._node_revision,
            sequence,
            request_number,
            deregistered,
            PROTOCOL_VERSION,
            telemetry,
        )

    def apply(self, update: Update, now_s: float) -> None:
        """Apply an update to the view, and notify its listeners of a change."""
        is_changed = self._apply_state(update, now_s)
        is_changed |= self._apply_nodes(update, now_s)
        self._apply_max_proxies(update)
        if is_changed:
            self._view.notify_listeners()

    def _apply_max_proxies(self, update: Update) -> None:
        """Raise the number of proxies, which divides all quotas.

        It never falls while this process runs: proxies that are partitioned off still spend their quota.
        """
        if update.max_proxies > self._max_proxies:
            self._max_proxies = update.max_proxies
            self._view.max_proxies = update.max_proxies

    def _apply_state(self, update: Update, now_s: float) -> bool:
        """Take a newer state; return whether the view changed: other commands than the duties' came."""
        if update.state_sequence <= self._sequence:
            return False
        state = self._decode(update.state) if update.state is not None else self._replay(update.changes)
        self.needs_full_state = state is None
        if state is None:
            return False
        is_first = not self.has_state
        before = self._state
        self._state = state
        self._sequence = update.state_sequence
        self._activate(before, state, now_s)
        return is_first or without_singleton_state(state) != without_singleton_state(before)

    def _decode(self, data: bytes) -> ControlState | None:
        try:
            return decode_state(data)
        except MalformedMessageError as error:
            self._log.error("snapshot_rejected", error=str(error))
            return None

    def _replay(self, changes: tuple[StateChange, ...]) -> ControlState | None:
        state = self._state
        for change in changes:
            applied = _apply_command(state, change.command)
            if applied is None:
                self._log.error("change_rejected", sequence=change.sequence)
                return None
            state = applied.state
        return state

    def _activate(self, before: ControlState, state: ControlState, now_s: float) -> None:
        """Put a newer acknowledged state into the view."""
        for zone in before.evacuated_zones - state.evacuated_zones:
            self._view.evacuation_ended_at_s[zone] = now_s
        self._view.evacuated_zones = state.evacuated_zones
        if state.edition == before.edition or state.configuration_text is None:
            return
        document = read_document(state.configuration_text)
        if isinstance(document, Refusal):
            self._log.error("configuration_rejected", edition=state.edition, reason=document.reason)
            return
        configuration = document.configuration
        self._view.configuration = configuration
        self._log.info(
            "configuration_activated",
            edition=state.edition,
            sequence=self._sequence,
            tenants=NO_TENANTS if configuration.tenants is None else len(configuration.tenants),
            api_keys=sum(len(tenant.api_keys) for tenant in configuration.tenants or ()),
        )
        if document.ignored_fields:
            fields = ",".join(document.ignored_fields)
            self._log.warning("configuration_fields_ignored", edition=state.edition, fields=fields)

    def _apply_nodes(self, update: Update, now_s: float) -> bool:
        before = self._view.nodes
        self._view.nodes = self._directory.merge(before, update, now_s)
        self._update_node_revision(update)
        return self._view.nodes is not before

    def _update_node_revision(self, update: Update) -> None:
        """Set which differences to request next.

        Once a coordinator knows all nodes, its table is requested in full one more time.
        """
        if update.table_id != self._table_id:
            self._has_full_table = False
        self._table_id = update.table_id
        self._node_revision = update.node_revision
        if update.knows_all_nodes and not self._has_full_table:
            self._has_full_table = update.is_full_table
            if not update.is_full_table:
                self._node_revision = NO_NODE_REVISION


def _apply_command(state: ControlState, command: bytes) -> Applied | None:
    """Return the state after a command; None where it does not apply, or a newer program encoded it."""
    try:
        applied = apply(state, command)
    except MalformedMessageError:
        return None
    return applied if isinstance(applied, Applied) else None
