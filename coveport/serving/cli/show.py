"""`status`, `members` and `nodes`: what one coordinator knows, as tables or JSON."""

from __future__ import annotations

from typing import Any, Final

from coveport.serving.cli.connecting import WITHIN_S, AsJson, Core, Within, ask, read_body, refuse
from coveport.serving.cli.core_caller import Answer
from coveport.serving.cli.exit_codes import ExitCode
from coveport.serving.cli.http_call import HttpCall
from coveport.serving.cli.output import print_error, print_json, print_table
from coveport.serving.wire.names import Path

_NODE_FIELDS: Final = ("incarnation", "service", "address", "zone", "state", "silent_s")
_PROXY_FIELDS: Final = ("name", "address", "zone", "ready")
_PARTS_IN_TABLES: Final = frozenset({"nodes", "proxies", "core"})


def status(*, core: Core = None, within: Within = WITHIN_S, as_json: AsJson = False) -> int:
    """Show the state of the core as one coordinator sees it.

    Exit codes: 0 shown, 1 refused, 2 wrong input, 3 no clear answer.
    """
    told = _ask_status(core, within)
    if not isinstance(told, dict):
        return told
    if as_json:
        print_json(told)
        return ExitCode.DONE
    rows = [(key, _cell(value)) for key, value in told.items() if key not in _PARTS_IN_TABLES]
    rows += [(f"core {key}", _cell(value)) for key, value in _core(told).items()]
    rows += [(key, str(len(_entries(told, key)))) for key in ("proxies", "nodes")]
    print_table(("what", "value"), rows)
    return ExitCode.DONE


def members(*, core: Core = None, within: Within = WITHIN_S, as_json: AsJson = False) -> int:
    """List the coordinators and the proxies that hold a lease.

    Exit codes: 0 shown, 1 refused, 2 wrong input, 3 no clear answer.
    """
    told = _ask_status(core, within)
    if not isinstance(told, dict):
        return told
    coordinators, proxies = _coordinators(told), _entries(told, "proxies")
    if as_json:
        print_json({"coordinators": coordinators, "proxies": proxies})
        return ExitCode.DONE
    rows = [("coordinator", one["address"], "", one["part"]) for one in coordinators]
    rows += [
        ("proxy", one.get("address", ""), one.get("zone", ""), "ready" if one.get("ready") else "not ready")
        for one in proxies
    ]
    print_table(("role", "address", "zone", "state"), rows)
    return ExitCode.DONE


def nodes(*, core: Core = None, within: Within = WITHIN_S, as_json: AsJson = False) -> int:
    """List the nodes with their state and the seconds since they were heard.

    Exit codes: 0 shown, 1 refused, 2 wrong input, 3 no clear answer.
    """
    told = _ask_status(core, within)
    if not isinstance(told, dict):
        return told
    known = _entries(told, "nodes")
    if as_json:
        print_json(known)
    else:
        print_table(_NODE_FIELDS, [[one.get(field, "") for field in _NODE_FIELDS] for one in known])
    return ExitCode.DONE


def _ask_status(core: Core, within: float) -> dict[str, Any] | ExitCode:
    answer = ask(core, HttpCall("GET", Path.STATUS), within)
    if not isinstance(answer, Answer):
        return answer
    if not answer.is_success:
        return refuse(answer)
    told = read_body(answer)
    if isinstance(told, dict):
        return told
    print_error("the answer is no status; is this the control address of a coordinator?")
    return ExitCode.REFUSED


def _core(told: dict[str, Any]) -> dict[str, Any]:
    core = told.get("core")
    return core if isinstance(core, dict) else {}


def _entries(told: dict[str, Any], key: str) -> list[dict[str, Any]]:
    entries = told.get(key)
    return [one for one in entries if isinstance(one, dict)] if isinstance(entries, list) else []


def _coordinators(told: dict[str, Any]) -> list[dict[str, str]]:
    """The members of the core, and the part of each."""
    core = _core(told)
    replicas = core.get("replicas", [])
    addresses = [*core.get("members", []), *told.get("coordinators", [])]
    return [
        {"address": address, "part": _part(address, core.get("primary"), replicas)}
        for address in dict.fromkeys(map(str, addresses))
    ]


def _part(address: str, primary: object, replicas: list[object]) -> str:
    if address == primary:
        return "primary"
    return "replica" if address in replicas else "member"


def _cell(value: Any) -> str:
    if isinstance(value, list):
        return " ".join(map(str, value)) or "-"
    if isinstance(value, bool):
        return "yes" if value else "no"
    return "-" if value in ("", None) else str(value)
