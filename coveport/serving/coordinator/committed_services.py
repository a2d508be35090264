"""What the duties read of the acknowledged state: services, and evacuated zones."""

from __future__ import annotations

from coveport.serving.configuration.reader import read_configuration
from coveport.serving.configuration.state import ControlState, initial_state
from coveport.serving.model.configuration import Service
from coveport.serving.model.findings import Refusal


class CommittedServices:
    """Reads a configuration only when it is asked for: a coordinator that holds no duty needs none."""

    def __init__(self) -> None:
        self._state = initial_state()
        self._services: tuple[Service, ...] = ()
        self._read_edition = self._state.edition

    def record_committed(self, state: ControlState) -> None:
        """Take a newer committed state."""
        self._state = state

    def evacuated_zones(self) -> frozenset[str]:
        """Return the zones whose nodes get no requests."""
        return self._state.evacuated_zones

    def services(self) -> tuple[Service, ...]:
        """Return the services of the newest configuration; none before the first."""
        text = self._state.configuration_text
        if self._state.edition != self._read_edition and text is not None:
            self._read_edition = self._state.edition
            configuration = read_configuration(text)
            # What was committed was checked; another program's is left alone.
            self._services = () if isinstance(configuration, Refusal) else configuration.services
        return self._services
