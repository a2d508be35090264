"""Boot settings, configurations, commands and the acknowledged state are read and written as before."""

from __future__ import annotations

import tomllib
from dataclasses import astuple

import pytest
from golden_files import read_cases, read_file
from golden_settings_cases import (
    COMMANDS,
    CONFIGURATION,
    COORDINATOR,
    DEFAULT_BOUNDS,
    DEFAULT_LIMITS,
    DEFAULT_TOLERATED,
    PROXY,
    STATES,
)

from coveport.serving.configuration.commands import decode_command, encode_command
from coveport.serving.configuration.document import Document
from coveport.serving.configuration.reader import read_configuration, read_document, render_document
from coveport.serving.configuration.state import ControlState, initial_state
from coveport.serving.configuration.state_codec import decode_state, encode_state
from coveport.serving.configuration.state_machine import apply
from coveport.serving.replication.state_machine import Applied
from coveport.serving.settings.boot import BootSettings
from coveport.serving.settings.reader import parse_boot_settings
from coveport.serving.simulation.settings_file import settings_text

COMMAND_BYTES = read_cases("commands.json")
STATE_BYTES = read_cases("states.json")


@pytest.mark.parametrize(
    ("name", "expected"), [("settings/coordinator.toml", COORDINATOR), ("settings/proxy.toml", PROXY)]
)
def test_boot_settings_are_read_as_before(name: str, expected: BootSettings) -> None:
    assert parse_boot_settings(read_file(name).decode()) == expected


@pytest.mark.parametrize(
    ("name", "settings"),
    [("settings/coordinator_written.toml", COORDINATOR), ("settings/proxy_written.toml", PROXY)],
)
def test_boot_settings_are_written_as_before(name: str, settings: BootSettings) -> None:
    golden = read_file(name).decode()
    assert settings_text(settings) == golden
    assert parse_boot_settings(golden) == settings


def test_every_name_of_a_settings_file_is_in_the_golden_one() -> None:
    """No name of the file is forgotten: the text written back names the same fields as that read."""
    read = tomllib.loads(read_file("settings/coordinator.toml").decode())
    assert tomllib.loads(read_file("settings/coordinator_written.toml").decode()) == read


def test_what_a_settings_file_leaves_out_is_as_before() -> None:
    settings = parse_boot_settings(read_file("settings/proxy.toml").decode())
    assert isinstance(settings, BootSettings)
    assert astuple(settings.limits) == DEFAULT_LIMITS
    assert astuple(settings.tolerated) == DEFAULT_TOLERATED
    bounds = list(DEFAULT_BOUNDS)
    bounds[5] = 9.0  # the only one that the file gives
    assert astuple(settings.bounds) == tuple(bounds)


def test_a_configuration_is_read_as_before() -> None:
    assert read_configuration(read_file("configuration/sent.json")) == CONFIGURATION
    assert read_configuration(read_file("configuration/written.json")) == CONFIGURATION


def test_a_configuration_is_written_as_before() -> None:
    golden = read_file("configuration/written.json")
    for name in ("configuration/sent.json", "configuration/written.json"):
        document = read_document(read_file(name))
        assert isinstance(document, Document)
        assert document.text() == golden == render_document(document)


def test_every_command_has_its_golden_bytes() -> None:
    assert COMMAND_BYTES.keys() == COMMANDS.keys()
    assert {data[0] for data in COMMAND_BYTES.values()} == {0, 1, 2, 3, 4, 5, 6}
    assert STATE_BYTES.keys() == {*STATES, "with everything, without its digest", "after all commands"}


@pytest.mark.parametrize("case", COMMANDS)
def test_a_command_is_read_and_written_as_before(case: str) -> None:
    assert decode_command(COMMAND_BYTES[case]) == COMMANDS[case]
    assert encode_command(COMMANDS[case]) == COMMAND_BYTES[case]


@pytest.mark.parametrize("case", STATES)
def test_a_state_is_read_and_written_as_before(case: str) -> None:
    assert decode_state(STATE_BYTES[case]) == STATES[case]
    assert encode_state(STATES[case]) == STATE_BYTES[case]


def test_a_state_without_a_digest_is_read_as_before() -> None:
    assert decode_state(STATE_BYTES["with everything, without its digest"]) == STATES["with everything"]


def test_commands_lead_to_the_same_state() -> None:
    state = initial_state()
    for case in ("put", "patch", "start an evacuation"):
        state = after(state, COMMAND_BYTES[case])
    assert state.edition == 8
    assert state.configuration_text == read_file("configuration/patched.json")
    assert encode_state(state) == STATE_BYTES["after all commands"]
    again = after(state, COMMAND_BYTES["put"])
    assert again == state, "a change that was taken is known again"


def after(state: ControlState, command: bytes) -> ControlState:
    """The state after a command that must be taken."""
    applied = apply(state, command)
    assert isinstance(applied, Applied)
    changed: ControlState = applied.state
    return changed
