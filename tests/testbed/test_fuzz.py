"""The seeded slice of the fuzzing, and that it would find what it is there to find."""

from __future__ import annotations

import hashlib
import sys
import tomllib
from itertools import islice
from pathlib import Path
from typing import Any

import msgspec
import pytest
from click.testing import CliRunner, Result

from coveport import http1
from coveport.cli.root import root
from coveport.sidecar.discovery.endpoint_reader import EndpointReader
from coveport.testbed import compare, outcome
from coveport.testbed.fuzz import UNDER_TEST, run, writers
from coveport.testbed.fuzz.mutate import Mutator, read_dictionary
from coveport.testbed.scenario_file import ScenarioError, load, parse

MUTATIONS = {"scenarios": 300}  # the others are cheap
REQUEST = b"GET /balance/7 HTTP/1.1\r\nHost: a\r\nX-Request-Id: 1\r\nX-Deadline: 9m\r\n\r\n"
LIST = (
    b'{"seq":%d,"whole":false,"hosts":[{"host":"%s","dial":"10.0.0.1:9","site":"x","block":"y",'
    b'"health":"%s"}]}'
)


@pytest.mark.parametrize("name", run.TARGETS)
def test_the_corpus_and_a_slice_of_mutations_break_nothing(name: str) -> None:
    corpus = run.load(run.CORPORA / name)
    assert corpus
    told = run.play(name, corpus, seed=1, count=MUTATIONS.get(name, 1500))
    assert [find.text for find in told.finds.values()] == []


def test_corpora_are_small_and_named_by_their_content() -> None:
    folders = [one for one in run.CORPORA.iterdir() if one.name != "dictionaries"]
    assert sorted(one.name for one in folders) == sorted(run.TARGETS) == sorted(UNDER_TEST)
    files = [file for folder in folders for file in folder.rglob("*") if file.is_file()]
    assert len({file.relative_to(run.CORPORA).parts[0] + file.name for file in files}) == len(files)
    assert sum(file.stat().st_size for file in files) < 300_000
    for file in files:
        assert file.name == hashlib.sha256(file.read_bytes()).hexdigest()[:16]


class Worse(http1.RequestParser):
    """Reads on behind an error, and the length of what it holds matters."""

    def next_message(self) -> http1.Message | None:
        self._has_failed = False
        return super().next_message()


class Piecemeal(http1.RequestParser):
    """Takes a head of two pieces for malformed."""

    def feed(self, data: bytes | memoryview) -> None:
        if self.buffer.endswith(b"\r"):
            raise http1.RemoteProtocolError(400, "cut")
        super().feed(data)


class Hoarder(http1.RequestParser):
    """Holds all it gets."""

    def next_message(self) -> http1.Message | None:
        return None


class Careless(EndpointReader):
    """Forgets nobody."""

    def _forget(self, gone: set[str]) -> None:
        return


class Lost(EndpointReader):
    """Gives every destination a new number each time."""

    def read(self, told: Any, kind: Any = None) -> Any:
        self._endpoint_numbers.clear()
        return super().read(told, kind)


@pytest.mark.parametrize(
    ("name", "place", "fault", "data", "kind"),
    [
        ("requests", "http1.RequestParser", Worse, b"GET / HTTP/1.1\r\n\r\n" + REQUEST, "after an error"),
        ("requests", "http1.RequestParser", Piecemeal, REQUEST, "RemoteProtocolError in test_fuzz.feed"),
        ("requests", "http1.RequestParser", Hoarder, REQUEST * 600, "held"),
        ("requests", "http1.write_request", lambda *_: REQUEST, REQUEST.replace(b"7", b"8"), "written"),
        (
            "responses",
            "http1.write_response",
            lambda *_: b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
            b"HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n",
            "written",
        ),
        ("operations", "encode_request", lambda *_: REQUEST, REQUEST.replace(b"7", b"8"), "changed"),
        ("loads", "load_report", lambda *_: (1.0, float("nan"), 2.0), b"", "finite"),
        ("loads", "load_report", lambda *_: (1.0,), b"", "length"),
        ("lists", "EndpointReader", Careless, LIST % (1, b"a", b"left"), "hosts"),
        (
            "lists",
            "EndpointReader",
            Lost,
            b"\n".join(LIST % (one, b"a", b"active") for one in (1, 2)),
            "number",
        ),
        ("config", "platform.read", lambda *_: 1 // 0, b"{}", "ZeroDivisionError in test_fuzz.<lambda>"),
        ("batches", "writers.batch", lambda *_: b"", bytes(8) + b"\x08" + bytes(11), "stable"),
        ("scenarios", "writers.toml", lambda _: 'title = "u"', b'title = "t"', "stable"),
    ],
)
def test_a_broken_invariant_is_found(
    name: str, place: str, fault: object, data: bytes, kind: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    assert run.attempt(run.named(name), data) is None
    monkeypatch.setattr(f"coveport.testbed.fuzz.targets.{place}", fault)
    find = run.attempt(run.named(name), data)
    assert find is not None and find.kind == kind and find.data == data


def test_the_same_seed_gives_the_same_inputs() -> None:
    def made(seed: str) -> list[bytes]:
        return list(islice(Mutator(seed, [REQUEST, b"ab\n12\ncd"], [b"word"]), 300))

    assert made("1") == made("1") != made("2")
    assert len(set(made("1"))) > 250
    assert any(b"word" in one for one in made("1")) and all(len(one) <= 70_000 for one in made("1"))


def test_dictionaries_are_read_as_libfuzzer_has_them() -> None:
    assert read_dictionary('# no\n\n"a\\x0d\\\\\\""\nkw="b"\n') == [b'a\r\\"', b"b"]
    for wrong in ('"a', 'a"', '""', '"\\n"', '"a" "b"'):
        with pytest.raises(ValueError, match="line 2"):
            read_dictionary("\n" + wrong)
    assert all(run.words(one) for one in run.TARGETS.values())


def test_minimising_keeps_every_step_with_few_inputs() -> None:
    files, target = run.under_test("lists"), run.named("lists")
    short, long = LIST % (1, b"a", b"active"), LIST % (1, b"abc", b"active")
    inputs = [long, b"{", short, b"[]", b"\n".join([short, LIST % (2, b"a", b"left")]), b"[ ]"]
    kept = run.minimise("lists", inputs)
    assert set().union(*(run.steps(target, one, files) for one in kept)) == set().union(
        *(run.steps(target, one, files) for one in inputs)
    )
    assert long not in kept and len(kept) < len(inputs)
    assert run.minimise("lists", kept[::-1]) == kept and run.minimise("lists", inputs, kept) == []


def test_what_is_written_as_toml_reads_back() -> None:
    value = {"a b": {"x": [1, 2.5, True, 'q"\\\n\x7f\U0001f600']}, "c": {}}
    assert tomllib.loads(writers.toml(value)) == value
    day = load(Path(__file__).parents[2] / "scenarios" / "try.toml")
    assert parse(writers.toml(msgspec.to_builtins(day)), "again") == day


def test_an_outcome_nested_too_deep_is_none(tmp_path: Path) -> None:
    # Seen in fuzzing: msgspec gives up with a RecursionError there.
    deep = b'{"notes":' + b"[" * 100_000
    with pytest.raises(ValueError, match="not a lab's outcome"):
        outcome.decode(deep)
    (tmp_path / "deep.json").write_bytes(deep)
    with pytest.raises(compare.CompareError, match="not an outcome"):
        compare.read(str(tmp_path / "deep.json"))


@pytest.mark.parametrize(
    ("text", "sets", "said"),
    [
        ("length_s = " + "9" * 5000, [], "day: file: a number is too long"),
        ("length_s = 0x" + "f" * 5000, [], "day: length_s: what is there will not do"),
        ("", ["length_s=" + "9" * 5000], "day: length_s"),
        ("", [f"faults.{'9' * 5000}=1"], "day: set faults."),
    ],
)
def test_a_number_of_thousands_of_digits_is_a_mistake(text: str, sets: list[str], said: str) -> None:
    # Seen in fuzzing: Python makes no number of them, and that went past those who expect a ScenarioError.
    with pytest.raises(ScenarioError) as problem:
        parse('title = "t"\n' + text, "day", sets)
    assert str(problem.value).startswith(said) and "\n" not in str(problem.value)


def call(*args: object) -> Result:
    return CliRunner().invoke(root, ["lab", "fuzz", *map(str, args)])


def test_the_verb_says_what_it_found_and_keeps_it(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    corpus = tmp_path / "corpus"
    good = run.keep(corpus, b"inflight=1,queue=2,util=3")
    done = call("loads", "--seconds", 0, "--corpus", corpus, "--out", tmp_path)
    assert done.exit_code == 0 and "loads: 1 inputs" in done.stdout
    monkeypatch.setattr("coveport.testbed.fuzz.run.can_guide", lambda: False)
    done = call("loads", "--seconds", 0.01, "--corpus", corpus, "--out", tmp_path, "--minimise")
    assert done.exit_code == 0 and "drawn" in done.stdout and good.exists()
    assert done.stderr == "atheris is not there: mutations are drawn by the seed, not guided\n"
    monkeypatch.setattr("coveport.testbed.fuzz.targets.load_report", lambda *_: (1.0,))
    done = call("loads", "--seconds", 0, "--corpus", corpus, "--out", tmp_path)
    assert done.exit_code == 1 and "length: (1.0,)" in done.stdout
    assert (tmp_path / "loads/finds" / good.name).read_bytes() == good.read_bytes()


def test_the_verb_refuses_what_it_can_not_run(monkeypatch: pytest.MonkeyPatch) -> None:
    done = call("teapots")
    assert done.exit_code == 2 and "no target teapots; one of requests," in done.stderr
    monkeypatch.setitem(sys.modules, "h11", None)
    monkeypatch.setattr("importlib.util.find_spec", lambda name: None)
    done = call("requests-h11", "--seconds", 0)
    assert done.exit_code == 2 and "needs h11" in done.stderr


def test_a_guided_run_finds_and_keeps_inputs(tmp_path: Path) -> None:
    pytest.importorskip("atheris")
    run.keep(tmp_path / "corpus", LIST % (1, b"a", b"active"))
    told = run.guide("lists", tmp_path / "corpus", tmp_path, seconds=1)
    assert told.guided and told.executions > 10 and not told.finds
    assert run.load(tmp_path / "inputs")
