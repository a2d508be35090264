"""The services and evacuated zones of the newest committed state, which the duties read."""

from __future__ import annotations

from coveport.serving.configuration.reader import read_configuration
from coveport.serving.configuration.state import ControlState, initial_state
from coveport.serving.model.configuration import Service
from coveport.serving.model.findings import Refusal


class CommittedServices:
    """The newest committed services and evacuated zones.

    The configuration is parsed on demand: a coordinator without duties needs no parsed configuration.
    """

    def __init__(self) -> None:
        self._state = initial_state()
        self._services: tuple[Service, ...] = ()
        self._parsed_edition = self._state.edition

    def record_committed(self, state: ControlState) -> None:
        """Replace the committed state by a newer committed state."""
        self._state = state

    def evacuated_zones(self) -> frozenset[str]:
        """Return the zones whose nodes get no requests."""
        return self._state.evacuated_zones

    def services(self) -> tuple[Service, ...]:
        """Return the services of the newest configuration; empty before the first configuration."""
        text = self._state.configuration_text
        if self._state.edition != self._parsed_edition and text is not None:
            self._parsed_edition = self._state.edition
            configuration = read_configuration(text)
            # A configuration is validated before its commit, so only another version of this program could
            # have committed a configuration that can't be read here.
            self._services = () if isinstance(configuration, Refusal) else configuration.services
        return self._services
