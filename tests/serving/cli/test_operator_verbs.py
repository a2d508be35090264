"""Each verb as used by operators and scripts, including wrong input."""

from __future__ import annotations

import json
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest
from configuration_examples import make_configuration, route
from loopback_core import STATUS, LoopbackCore, serving

from coveport.serving.cli.app import app


class Verbs:
    """Runs verbs against a core and keeps what they printed."""

    def __init__(
        self, core: LoopbackCore, address: str, capsys: pytest.CaptureFixture[str], folder: Path
    ) -> None:
        self.core = core
        self._address = address
        self._capsys = capsys
        self._folder = folder
        self.out = self.error = ""

    def run_without_core(self, *words: str) -> int:
        """Run a command line and return its exit code."""
        with pytest.raises(SystemExit) as ended:
            app(words)
        self.out, self.error = self._capsys.readouterr()
        assert isinstance(ended.value.code, int)
        return ended.value.code

    def run(self, *words: str, within: str = "5") -> int:
        """Run a command line that names the core and return its exit code."""
        return self.run_without_core(*words, "--core", self._address, "--within", within)

    def file(self, content: Any) -> str:
        """Write a text, or a value as JSON with a line for each field, and return the file's path."""
        path = self._folder / "file"
        path.write_text(content if isinstance(content, str) else json.dumps(content, indent=1))
        return str(path)


@pytest.fixture
def verbs(
    capsys: pytest.CaptureFixture[str], tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> Iterator[Verbs]:
    monkeypatch.delenv("COVEPORT_CORE", raising=False)
    core = LoopbackCore()
    with serving(core) as address:
        yield Verbs(core, address, capsys, tmp_path)


def test_a_configuration_is_put_read_patched_and_read_again(verbs: Verbs) -> None:
    assert verbs.run("config", "get") == 1
    assert "none yet" in verbs.error
    assert verbs.run("config", "put", verbs.file(make_configuration(7))) == 0
    assert verbs.out == "taken: edition 7, on top of 0\n"
    assert verbs.run("config", "get") == 0
    assert json.loads(verbs.out) == make_configuration(7)
    patch = {"Edition": 9, "Upsert": {"Routes": [route("new")]}, "Remove": {"Routes": ["plain"]}}
    assert verbs.run("config", "patch", verbs.file(patch)) == 0
    assert verbs.core.state.edition == 9
    assert verbs.run("config", "get") == 0
    assert [item["Name"] for item in json.loads(verbs.out)["Routes"]] == ["shared", "new"]


def test_a_faulty_configuration_is_not_sent_and_its_findings_have_lines(verbs: Verbs) -> None:
    faulty = make_configuration(7, route("a", DeadlineMs=0), route("b", Service="none"))
    file = verbs.file(faulty)
    lines = Path(file).read_text().splitlines()
    timeout_line = lines.index('   "DeadlineMs": 0,') + 1
    service_line = lines.index('   "Service": "none",') + 1
    expected = [
        f"{file}:{timeout_line}: Routes[0].DeadlineMs: must be above 0",
        f"{file}:{service_line}: Routes[1].Service: there is no service 'none'",
    ]
    for words in (("config", "put"), ("check", "configuration")):
        exit_code = verbs.run(*words, file) if words[0] == "config" else verbs.run_without_core(*words, file)
        assert exit_code == 2
        assert verbs.error.splitlines() == expected
    assert verbs.core.changes_sent == 0


def test_a_faulty_patch_is_not_sent(verbs: Verbs) -> None:
    file = verbs.file('{\n"Upsert": []}')
    assert verbs.run("config", "patch", file) == 2
    assert verbs.error.splitlines() == [
        f"{file}:2: Upsert: must be an object",
        f"{file}:1: Edition: is missing",
    ]
    assert verbs.core.changes_sent == 0


def test_a_stale_change_is_rejected_with_the_reason(verbs: Verbs) -> None:
    assert verbs.run("config", "put", verbs.file(make_configuration(7))) == 0
    assert verbs.run("config", "put", verbs.file(make_configuration(9)), "--if-match", "5") == 1
    assert "refused (412): If-Match: the current edition is 7" in verbs.error
    assert verbs.core.state.edition == 7


def test_a_change_that_only_the_core_can_reject_gives_its_reasons(verbs: Verbs) -> None:
    assert verbs.run("config", "put", verbs.file(make_configuration(7))) == 0
    assert verbs.run("config", "patch", verbs.file({"Edition": 9, "Remove": {"Services": ["model"]}})) == 1
    assert verbs.error.count("refused (400): Routes[") == 3
    assert verbs.core.state.edition == 7


def test_a_change_is_sent_again_after_a_lost_response(verbs: Verbs) -> None:
    verbs.core.responses_lost = 2
    assert verbs.run("config", "put", verbs.file(make_configuration(7))) == 0
    assert (verbs.core.changes_sent, verbs.core.state.edition) == (3, 7)


def test_a_change_without_a_final_response_is_unclear(verbs: Verbs) -> None:
    verbs.core.responses_lost = 1000
    assert verbs.run("config", "put", verbs.file(make_configuration(7)), within="0.3") == 3
    assert "the change may have been taken or not" in verbs.error
    assert "--if-match 0" in verbs.error


def test_a_diff_names_each_value_that_differs(verbs: Verbs) -> None:
    assert verbs.run("config", "put", verbs.file(make_configuration(7, route("a"), route("b")))) == 0
    assert verbs.run("config", "diff", verbs.file(make_configuration(7, route("a"), route("b")))) == 0
    assert verbs.out == ""
    wanted = verbs.file(make_configuration(8, route("a", DeadlineMs=9), route("c")))
    assert verbs.run("config", "diff", wanted) == 1
    lines = verbs.out.splitlines()
    assert lines[:3] == ["~ Edition: 7 -> 8", "~ Routes.a.DeadlineMs: 5000 -> 9", "- Routes.b"]
    assert lines[3].startswith('+ Routes.c: {"Name":"c",')
    assert len(lines) == 4
    assert verbs.run("config", "diff", wanted, "--json") == 1
    assert json.loads(verbs.out)[1] == {"place": "Routes.a.DeadlineMs", "before": 5000, "after": 9}


def test_a_zone_is_evacuated_and_used_again(verbs: Verbs) -> None:
    assert verbs.run("evacuate", "hall") == 0
    assert verbs.core.state.evacuated_zones == {"hall"}
    assert verbs.run("evacuate", "hall") == 0
    assert verbs.run("evacuate", "hall", "--end") == 0
    assert verbs.core.state.evacuated_zones == frozenset()


def test_an_unknown_zone_is_rejected(verbs: Verbs) -> None:
    assert verbs.run("evacuate", "attic/../hall") == 1
    assert "unknown zone" in verbs.error
    assert verbs.core.changes_sent == 0


def test_status_members_and_nodes_are_tables_or_json(verbs: Verbs) -> None:
    assert verbs.run("status") == 0
    assert "core primary         10.0.0.1:7300" in verbs.out.splitlines()
    assert [line for line in verbs.out.splitlines() if line.startswith("duties")] == [
        "duties phase         holding",
        "duties fence         12",
        "duties last_call     path=/usage outcome=accepted ago_s=1.5",
        "duties fleet_orders  service=model zone=hall wanted=6; service=model zone=mill wanted=2",
    ]
    assert verbs.run("status", "--json") == 0
    assert json.loads(verbs.out) == STATUS
    assert verbs.run("members") == 0
    assert verbs.out.splitlines() == [
        "role         address        zone  state",
        "coordinator  10.0.0.1:7300        primary",
        "coordinator  10.0.0.2:7300        replica",
        "coordinator  10.0.0.3:7300        member",
        "coordinator  10.0.0.4:7300        member",
        "proxy        10.0.1.1:80    hall  ready",
    ]
    assert verbs.run("members", "--json") == 0
    assert len(json.loads(verbs.out)["coordinators"]) == 4
    assert verbs.run("nodes") == 0
    assert verbs.out.splitlines() == [
        "incarnation  service  address      zone  state      silent_s",
        "i-1          model    10.0.2.1:80  hall  accepting  0.4",
    ]
    assert verbs.run("nodes", "--json") == 0
    assert json.loads(verbs.out) == STATUS["nodes"]


def test_the_core_may_be_named_by_the_environment(verbs: Verbs, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setenv("COVEPORT_CORE", f"127.0.0.1:1,{verbs._address}")
    assert verbs.run_without_core("status") == 0


@pytest.mark.parametrize(
    "words",
    [
        ("status",),
        ("status", "--core", "somewhere"),
        ("status", "--core", "somewhere:80"),
        ("config", "get", "--core", "127.0.0.1:x"),
        ("evacuate", "hall"),
        ("evacuate",),
        ("config", "put"),
        ("config", "put", "/nothing/there", "--core", "127.0.0.1:1"),
        ("check", "settings", "/nothing/there"),
        ("check", "configuration", "/nothing/there"),
        ("nodes", "--within", "soon"),
        ("shows",),
    ],
)
def test_wrong_input_ends_with_2(verbs: Verbs, words: tuple[str, ...]) -> None:
    assert verbs.run_without_core(*words) == 2
    assert len(verbs.out + verbs.error) > 0
    assert verbs.core.changes_sent == 0


def test_a_core_that_does_not_listen_is_named(verbs: Verbs) -> None:
    assert verbs.run_without_core("status", "--core", "127.0.0.1:1", "--within", "0.2") == 3
    assert "127.0.0.1:1: " in verbs.error


def test_sound_files_pass_the_check(verbs: Verbs) -> None:
    assert verbs.run_without_core("check", "configuration", verbs.file(make_configuration(7))) == 0
    assert verbs.out.endswith("sound, edition 7, 2 routes, 1 services\n")


def test_settings_are_checked_with_lines(verbs: Verbs) -> None:
    file = verbs.file('NodeName = "n"\nIp = "x"\n[Listen]\nControl = "10.0.0.1"\n[Bounds]\nDrainMs = true\n')
    assert verbs.run_without_core("check", "settings", file) == 2
    findings = verbs.error.splitlines()
    assert f"{file}:2: Ip: must be an IP address" in findings
    assert any(line.startswith(f"{file}:4: Listen.Control: ") for line in findings)
    assert f"{file}:6: Bounds.DrainMs: must be a number" in findings
    assert f"{file}:1: Zone: is missing" in findings


@pytest.mark.parametrize(
    "words",
    [(), ("check",), ("config",), ("config", "put"), ("evacuate",), ("nodes",), ("members",), ("status",)],
)
def test_help_fits_80_columns(verbs: Verbs, words: tuple[str, ...], monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setenv("COLUMNS", "80")
    assert verbs.run_without_core(*words, "--help") == 0
    assert verbs.out.startswith("Usage: ")
    assert max(map(len, verbs.out.splitlines())) <= 80
