"""Steps over the acknowledged state: what operators send, and what they are told."""

from __future__ import annotations

import json
from typing import Any

from behave import given, then, when
from configuration_examples import encode_json, make_configuration, route

from coveport.serving.configuration.commands import (
    Command,
    EndEvacuation,
    PatchConfiguration,
    PutConfiguration,
    StartEvacuation,
    encode_command,
)
from coveport.serving.configuration.state import ChangeResult, initial_state
from coveport.serving.configuration.state_machine import apply
from coveport.serving.replication.state_machine import Applied

NUMBERS = {"first": 0, "second": 1, "third": 2}


def state_of(context: Any) -> Any:
    """The state that the scenario has come to."""
    if not hasattr(context, "state"):
        context.state, context.sent, context.results = initial_state(), [], []
    return context.state


def send(context: Any, command: Command) -> ChangeResult:
    """Send a command; its outcome is kept."""
    outcome = apply(state_of(context), encode_command(command))
    if isinstance(outcome, Applied):
        context.state = outcome.state
    context.sent.append(command)
    context.results.append(outcome.result)
    result: ChangeResult = outcome.result
    return result


def configuration_of(context: Any) -> Any:
    """The configuration in force."""
    return json.loads(state_of(context).configuration_text)


def names(words: str) -> list[str]:
    """The names in a list such as "a, b"."""
    return [name.strip() for name in words.split(",")]


@given("version {version:d} is in force")
def given_version(context: Any, version: int) -> None:
    """A configuration stands before the scenario begins."""
    put_before(context, make_configuration(version))


@given('version {version:d} is in force with the routes "{words}"')
def given_routes(context: Any, version: int, words: str) -> None:
    """A configuration of these routes stands before the scenario begins."""
    put_before(context, make_configuration(version, *map(route, names(words))))


def put_before(context: Any, configuration: Any) -> None:
    """Put a configuration that is no part of what the scenario looks at."""
    assert send(context, PutConfiguration(0, encode_json(configuration))).status == 200
    context.sent.clear()
    context.results.clear()


@when("an operator puts version {version:d} on top of {base:d}")
@when("another operator puts version {version:d} on top of {base:d}")
def put_version(context: Any, version: int, base: int) -> None:
    """Send a whole configuration."""
    send(context, PutConfiguration(base, encode_json(make_configuration(version))))


@when("an operator puts version {version:d} on top of nothing")
def put_without_base(context: Any, version: int) -> None:
    """Send a whole configuration without If-Match."""
    send(context, PutConfiguration(None, encode_json(make_configuration(version))))


@when('another operator puts version {version:d} with the route "{name}" on top of {base:d}')
def put_route(context: Any, version: int, name: str, base: int) -> None:
    """Send a whole configuration of one route."""
    send(context, PutConfiguration(base, encode_json(make_configuration(version, route(name)))))


@when("an operator puts this on top of {base:d}")
def put_text(context: Any, base: int) -> None:
    """Send the text below the step."""
    send(context, PutConfiguration(base, context.text.encode()))


@when("an operator puts version {version:d} whose route has {field} {value}")
def put_changed_route(context: Any, version: int, field: str, value: str) -> None:
    """Send a configuration whose one route differs in a field."""
    changed = route("a") | {field: json.loads(value)}
    send(
        context,
        PutConfiguration(state_of(context).edition, encode_json(make_configuration(version, changed))),
    )


@when("an operator puts version {version:d} with two routes at the same host and prefix")
def put_same_place(context: Any, version: int) -> None:
    """Send a configuration whose routes can't be told apart."""
    both = route("a"), route("b", PathPrefix="/a/")
    send(
        context, PutConfiguration(state_of(context).edition, encode_json(make_configuration(version, *both)))
    )


@when("an operator puts version {version:d} cut short")
def put_cut_short(context: Any, version: int) -> None:
    """Send half a body."""
    body = encode_json(make_configuration(version))
    send(context, PutConfiguration(state_of(context).edition, body[: len(body) // 2]))


@when("an operator patches it to version {version:d}: {change}")
@when("another operator patches it to version {version:d}: {change}")
def patch_current(context: Any, version: int, change: str) -> None:
    """Send a patch on top of the version in force."""
    send_patch(context, state_of(context).edition, version, change)


@when("another operator patches version {base:d} to version {version:d}: {change}")
def patch_version(context: Any, base: int, version: int, change: str) -> None:
    """Send a patch on top of some version."""
    send_patch(context, base, version, change)


def send_patch(context: Any, base: int, version: int, change: str) -> None:
    """Send the patch that the words describe."""
    match change.replace('"', "").split():
        case ["add", "the", "route", name]:
            body: dict[str, Any] = {"Upsert": {"Routes": [route(name)]}}
        case ["remove", "the", ("route" | "service") as kind, name]:
            body = {"Remove": {kind.capitalize() + "s": [name]}}
        case ["set", field, "of", "the", "route", name, "to", value]:
            body = {"Upsert": {"Routes": [route(name) | {field: json.loads(value)}]}}
        case _:
            raise AssertionError(f"no such change: {change}")
    send(context, PatchConfiguration(base, encode_json({"Edition": version} | body)))


@when("the same is sent again")
def send_same(context: Any) -> None:
    """Send the last command once more."""
    send(context, context.sent[-1])


@when("the first is sent again")
def send_first(context: Any) -> None:
    """Send the first command once more."""
    send(context, context.sent[0])


@when('an operator evacuates the zone "{zone}"')
def start_evacuation(context: Any, zone: str) -> None:
    """Ask that nothing more goes to a zone."""
    send(context, StartEvacuation(zone))


@when('an operator ends the evacuation of the zone "{zone}"')
def end_evacuation(context: Any, zone: str) -> None:
    """Withdraw that."""
    send(context, EndEvacuation(zone))


@then("it is taken")
@then("both are taken")
@then("all are taken")
def all_taken(context: Any) -> None:
    """Everything that was sent has succeeded."""
    assert context.results
    assert [result.status for result in context.results] == [200] * len(context.results), context.results


@then("the {number} is taken")
def one_taken(context: Any, number: str) -> None:
    """One of several has succeeded."""
    assert context.results[NUMBERS[number]].status == 200, context.results


@then('it is refused with {status:d} at "{place}"')
def refused_at(context: Any, status: int, place: str) -> None:
    """The one command was refused, with one finding."""
    assert len(context.results) == 1
    check_refused(context.results[0], status, place)


@then('the {number} is refused with {status:d} at "{place}"')
def one_refused_at(context: Any, number: str, status: int, place: str) -> None:
    """One of several was refused, with one finding."""
    check_refused(context.results[NUMBERS[number]], status, place)


def check_refused(result: ChangeResult, status: int, place: str) -> None:
    """The status, and the places of the findings."""
    assert result.status == status, result
    assert [finding.location for finding in result.findings] == [place], result


@then("it is refused with {status:d}")
def refused(context: Any, status: int) -> None:
    """The one command was refused and it is said why."""
    assert len(context.results) == 1
    assert context.results[0].status == status, context.results
    assert context.results[0].findings


@then("the findings are")
def findings_are(context: Any) -> None:
    """The places of all findings, in any order."""
    told = sorted(finding.location for finding in context.results[-1].findings)
    assert told == sorted(row["place"] for row in context.table), told


@then("the configuration has version {version:d}")
def has_version(context: Any, version: int) -> None:
    """The version in force, in the state and in what is handed out."""
    assert state_of(context).edition == version, state_of(context).edition
    assert configuration_of(context)["Edition"] == version


@then("the configuration reads")
def configuration_reads(context: Any) -> None:
    """What is handed out, as JSON."""
    assert configuration_of(context) == json.loads(context.text)


@then('the routes are "{words}"')
def routes_are(context: Any, words: str) -> None:
    """The names of the routes, in their order."""
    told = [one["Name"] for one in configuration_of(context)["Routes"]]
    assert told == names(words), told


@then('{field} of the route "{name}" is {value}')
def route_has(context: Any, field: str, name: str, value: str) -> None:
    """A field of a route."""
    (found,) = [one for one in configuration_of(context)["Routes"] if one["Name"] == name]
    assert found[field] == json.loads(value), found


@then('the evacuated zones are "{words}"')
def zones_are(context: Any, words: str) -> None:
    """The zones that nothing is sent to."""
    assert state_of(context).evacuated_zones == frozenset(names(words))


@then("no zone is evacuated")
def no_zone(context: Any) -> None:
    """All zones are in use."""
    assert not state_of(context).evacuated_zones
