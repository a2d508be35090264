"""Applies the updates of coordinators to a proxy's view.

The view never returns to an older version: states are applied in the order of their sequence numbers,
reports on nodes by incarnation and sequence number (`node_directory`). If changes can't be applied, the
complete state is requested.
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

NO_STATE_SEQUENCE = -1  # sent to request the complete state
NO_TENANTS = -1  # number of tenants that is logged if requests need no API key
NO_NODE_REVISION = -1  # sent to request the complete node table


class ViewUpdater:
    """A proxy's versions of the state and the node table, and the view made from them."""

    def __init__(self, view: ControlView, log: EventLogger) -> None:
        self._view = view
        self._log = log
        self._state: ControlState = initial_state()
        self._sequence = NO_STATE_SEQUENCE
        self._table_id = ""
        self._node_revision = NO_NODE_REVISION
        self._has_full_table = False  # whether the full table of a coordinator with all nodes was received
        self._directory = NodeDirectory()
        self._max_proxies = 0
        self.needs_full_state = False  # set if changes can't be applied or a state can't be decoded
        view.max_proxies = INITIAL_MAX_PROXIES

    @property
    def has_state(self) -> bool:
        """Whether any state was applied; without a state the proxy can't serve."""
        return self._sequence >= 0

    def recently_deregistered(self, now_s: float) -> tuple[str, ...]:
        """Return the deregistered incarnations for the first request to a coordinator."""
        return self._directory.recently_deregistered(now_s)

    def request(
        self,
        lease: ProxyLease,
        request_number: int,
        deregistered: tuple[str, ...],
        telemetry: ProxyTelemetry | None,
    ) -> UpdateRequest:
        """Return the request for everything newer than this proxy's versions."""
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
        """Apply an update to the view, and notify the listeners if the view changed."""
        is_changed = self._apply_state(update, now_s)
        is_changed |= self._apply_nodes(update, now_s)
        self._apply_max_proxies(update)
        if is_changed:
            self._view.notify_listeners()

    def _apply_max_proxies(self, update: Update) -> None:
        """Raise the number of proxies, by which all limits are divided into quotas.

        It never falls while this process runs, because partitioned proxies still use their quotas.
        """
        if update.max_proxies > self._max_proxies:
            self._max_proxies = update.max_proxies
            self._view.max_proxies = update.max_proxies

    def _apply_state(self, update: Update, now_s: float) -> bool:
        """Apply a newer state; return whether anything but the state of duties changed."""
        if update.state_sequence <= self._sequence:
            return False
        state = self._decode(update.state) if update.state is not None else self._replay(update.changes)
        self.needs_full_state = state is None
        if state is None:
            return False
        is_first_state = not self.has_state
        previous = self._state
        self._state = state
        self._sequence = update.state_sequence
        self._activate(previous, state, now_s)
        return is_first_state or without_singleton_state(state) != without_singleton_state(previous)

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

    def _activate(self, previous: ControlState, state: ControlState, now_s: float) -> None:
        """Apply a newer acknowledged state to the view."""
        for zone in previous.evacuated_zones - state.evacuated_zones:
            self._view.evacuation_ended_at_s[zone] = now_s
        self._view.evacuated_zones = state.evacuated_zones
        if state.edition == previous.edition or state.configuration_text is None:
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
        previous = self._view.nodes
        self._view.nodes = self._directory.merge(previous, update, now_s)
        self._update_node_revision(update)
        return self._view.nodes is not previous

    def _update_node_revision(self, update: Update) -> None:
        """Set the versions of the node table from which the next differences are requested.

        Once a coordinator knows all nodes, its full table is requested one more time.
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
    """Return the state after a command; None if it can't be applied, or a newer program encoded it."""
    try:
        applied = apply(state, command)
    except MalformedMessageError:
        return None
    return applied if isinstance(applied, Applied) else None
