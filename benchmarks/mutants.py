"""What the tests notice: small changes of the module and the reducer, and which of them no test fails for.

    python benchmarks/mutants.py [--seed N] [--count N] [--jobs N] [--limit SECONDS] [--json FILE]
    python benchmarks/mutants.py --list [--only ID]...      the changes, without a run
    python benchmarks/mutants.py --only ID [--only ID]...   these alone

It draws `--count` places by `--seed` (0: all places) and one change for each, makes the change in a
throw-away copy of the repository, and runs there the tests without processes that concern these files. A
change is *killed* when a test fails, a *time-out* when the tests take more CPU time than the limit (as good
as killed), and *survived* when all pass. Survivors are shown as diffs. A change that can make no difference
is judged by hand and listed with the reason in `mutants_equivalent.toml`; it is run all the same, and one
that gets killed was judged wrongly. An id is made of the function and the lines before and after, so it holds
while those do.

Why not a library: mutmut 3.8 changes only what is inside functions, and the module's budgets are constants
outside; it drops no statement, scales no constant and draws no sample. cosmic-ray 8 changes the work tree
itself, changes constants by one only, and keeps a session in a database. What is needed is some hundred lines
on `ast`.
"""

from __future__ import annotations

import argparse
import ast
import difflib
import hashlib
import json
import os
import random
import re
import resource
import shutil
import signal
import subprocess
import sys
import tempfile
import time
import tomllib
from collections import Counter
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path
from queue import SimpleQueue

ROOT = Path(__file__).resolve().parents[1]
FILES = (
    "coveport/balancing/balancer.py",
    "coveport/balancing/balancer_state.py",
    "coveport/balancing/endpoint_discovery.py",
    "coveport/balancing/host.py",
    "coveport/balancing/host_selection.py",
    "coveport/balancing/load_shedding.py",
    "coveport/balancing/outlier_ejection.py",
    "coveport/balancing/pending_requests.py",
    "coveport/balancing/request_state.py",
    "coveport/balancing/retry_policy.py",
    "coveport/balancing/slow_start.py",
    "coveport/balancing/subsetting.py",
    "coveport/sidecar/reducer/reducer.py",
)
TESTS = (
    "tests/balancing/test_balancer_*.py",
    "tests/sidecar/reducer/test_reducer*.py",
    "tests/balancing/test_fault_reactions.py",
    "tests/balancing/test_crowded_hosts.py",
    "tests/balancing/test_balancing_rules.py",
)
COPIED = ("coveport", "tests", "pyproject.toml")
EQUIVALENT = ROOT / "benchmarks" / "mutants_equivalent.toml"
MEMORY = 2 << 30  # bytes a run of the tests may take: a change may make a list grow for ever
WALL = 30  # of the limit, in wall time: a machine that stands still for a while is no verdict
# The verdict is known at the first failure: to look for a smaller example of it would only take time.
NO_SHRINKING = """
from hypothesis import Phase
settings.register_profile("quick", settings.get_profile("same"), phases=[Phase.explicit, Phase.generate])
settings.load_profile("quick")
"""

BOUNDARY = {"<": "<=", "<=": "<", ">": ">=", ">=": ">"}
OPPOSITE = {
    "<": ">=",
    "<=": ">",
    ">": "<=",
    ">=": "<",
    "==": "!=",
    "!=": "==",
    "is not": "is",
    "is": "is not",
    "not in": "in",
    "in": "not in",
}
ARITHMETIC = {"+": "-", "-": "+", "*": "/", "/": "*", "**": "*", "+=": "-=", "-=": "+="}
OTHER_CALL = {"min": "max", "max": "min", "any": "all", "all": "any"}
SYMMETRIC = ("min", "max", "isinstance", "uniform")  # calls that do the same with arguments swapped, or raise


@dataclass(frozen=True)
class Mutant:
    """One change: `new` in place of the bytes from `start` to `end` of a file."""

    file: str
    kind: str
    start: int
    end: int
    new: str
    id: str = ""
    where: str = ""

    def apply(self, source: bytes) -> bytes:
        """The file with the change."""
        return source[: self.start] + self.new.encode() + source[self.end :]

    def diff(self, source: bytes) -> str:
        """The lines before and after."""
        lines = difflib.unified_diff(
            source.decode().splitlines(), self.apply(source).decode().splitlines(), n=0, lineterm=""
        )
        return "\n".join(line for line in lines if line[:3] not in ("---", "+++"))


class _Places(ast.NodeVisitor):
    """Collects the places of a file, each with the changes that can be made there."""

    def __init__(self, file: str, source: bytes) -> None:
        self.file = file
        self.source = source
        self.starts = [0]
        for line in source.splitlines(keepends=True):
            self.starts.append(self.starts[-1] + len(line))
        self.places: list[list[Mutant]] = []
        self.path: list[str] = []
        self.returns = ""
        self.visit(ast.parse(source))

    def span(self, node: ast.expr | ast.stmt) -> tuple[int, int]:
        assert node.end_lineno is not None and node.end_col_offset is not None
        return (
            self.starts[node.lineno - 1] + node.col_offset,
            self.starts[node.end_lineno - 1] + node.end_col_offset,
        )

    def text(self, node: ast.expr | ast.stmt) -> str:
        start, end = self.span(node)
        return self.source[start:end].decode()

    def place(self, kind: str, span: tuple[int, int], *news: str) -> None:
        """A place; the text that was there is no change."""
        old = self.source[span[0] : span[1]].decode()
        where = ".".join(self.path) or "constants"
        made = [Mutant(self.file, kind, *span, new, where=where) for new in dict.fromkeys(news) if new != old]
        if made:
            self.places.append(made)

    def operator(self, kind: str, left: ast.expr, right: ast.expr, *tables: dict[str, str]) -> None:
        """The operator stands between two operands, maybe with parentheses around it."""
        start, end = self.span(left)[1], self.span(right)[0]
        between = self.source[start:end].decode()
        found = re.search(r"not\s+in|is\s+not|[<>=!*/+-]+|\b(?:and|or|is|in)\b", between)
        if found:
            old = " ".join(found[0].split())
            self.place(
                kind,
                (start + found.start(), start + found.end()),
                *(table[old] for table in tables if old in table),
            )

    def wrapped(self, node: ast.expr, new: str) -> str:
        """As it is where that means the same as in parentheses."""
        start, end = self.span(node)
        bare, safe = (self.source[:start] + text.encode() + self.source[end:] for text in (new, f"({new})"))
        try:
            return new if ast.dump(ast.parse(bare)) == ast.dump(ast.parse(safe)) else f"({new})"
        except SyntaxError:
            return f"({new})"

    def condition(self, test: ast.expr) -> None:
        if not isinstance(test, ast.Compare) or len(test.ops) > 1:  # else the opposite comparison is the same
            self.place("negated condition", self.span(test), self.wrapped(test, f"not ({self.text(test)})"))

    def visit_FunctionDef(self, node: ast.FunctionDef) -> None:
        before, self.returns = self.returns, self.text(node.returns) if node.returns else ""
        self.path.append(node.name)
        for default in (*node.args.defaults, *(one for one in node.args.kw_defaults if one)):
            self.visit(default)
        for child in node.body:
            self.visit(child)
        self.path.pop()
        self.returns = before

    def visit_ClassDef(self, node: ast.ClassDef) -> None:
        self.path.append(node.name)
        for child in node.body:
            self.visit(child)
        self.path.pop()

    def visit_AnnAssign(self, node: ast.AnnAssign) -> None:
        if node.value:
            self.visit(node.value)

    def visit_Assign(self, node: ast.Assign) -> None:
        if isinstance(node.targets[0], ast.Name) and node.targets[0].id == "__slots__":
            return
        # Without a first value all fails at once, which says nothing of the tests.
        names = [
            one
            for target in node.targets
            for one in (target.elts if isinstance(target, ast.Tuple) else [target])
        ]
        if self.path[-1:] != ["__init__"] and not any(isinstance(one, ast.Name) for one in names):
            self.place("dropped statement", self.span(node), "pass")
        self.generic_visit(node)

    def visit_AugAssign(self, node: ast.AugAssign) -> None:
        self.place("dropped statement", self.span(node), "pass")
        self.operator("arithmetic", node.target, node.value, ARITHMETIC)
        self.generic_visit(node)

    def visit_Expr(self, node: ast.Expr) -> None:
        if isinstance(node.value, ast.Call):
            self.place("dropped statement", self.span(node), "pass")
        self.generic_visit(node)

    def _dropped(self, node: ast.Break | ast.Continue | ast.Delete) -> None:
        self.place("dropped statement", self.span(node), "pass")

    visit_Break = visit_Continue = visit_Delete = _dropped  # noqa: N815

    def visit_Return(self, node: ast.Return) -> None:
        if node.value is None:
            self.place("dropped statement", self.span(node), "pass")
            return
        text = self.text(node.value)
        news = {
            "bool": [f"not ({text})", "True", "False"],
            "float": ["0.0", f"2 * ({text})"],
            "int": ["0", f"2 * ({text})"],
            "list[Action]": ["[]"],
            "list[Effect]": ["[]"],
        }
        self.place(
            "return value",
            self.span(node.value),
            *news.get(self.returns, ["None"] if "None" in self.returns else []),
        )
        self.generic_visit(node)

    def visit_If(self, node: ast.If | ast.While | ast.IfExp) -> None:
        self.condition(node.test)
        self.generic_visit(node)

    visit_While = visit_IfExp = visit_If  # noqa: N815

    def visit_comprehension(self, node: ast.comprehension) -> None:
        for test in node.ifs:
            self.condition(test)
        self.generic_visit(node)

    def visit_Compare(self, node: ast.Compare) -> None:
        for left, right in zip([node.left, *node.comparators], node.comparators, strict=False):
            self.operator("boundary", left, right, BOUNDARY)
            self.operator("comparison", left, right, OPPOSITE)
        self.generic_visit(node)

    def visit_BinOp(self, node: ast.BinOp) -> None:
        if isinstance(node.op, ast.Add | ast.Sub | ast.Mult | ast.Div | ast.Pow):
            self.operator("arithmetic", node.left, node.right, ARITHMETIC)
        self.generic_visit(node)

    def visit_BoolOp(self, node: ast.BoolOp) -> None:
        for left, right in zip(node.values, node.values[1:], strict=False):
            self.operator("and/or", left, right, {"and": "or", "or": "and"})
        word = " and " if isinstance(node.op, ast.And) else " or "
        for leave in range(len(node.values)):
            rest = [one for at, one in enumerate(node.values) if at != leave]
            new = ast.unparse(ast.BoolOp(node.op, rest)) if len(rest) > 1 else ast.unparse(rest[0])
            assert word.strip() in new or len(rest) == 1
            self.place("dropped operand", self.span(node), self.wrapped(node, new))
        self.generic_visit(node)

    def visit_UnaryOp(self, node: ast.UnaryOp) -> None:
        if isinstance(node.op, ast.USub | ast.Not):
            self.place(
                "sign" if isinstance(node.op, ast.USub) else "dropped not",
                self.span(node),
                self.wrapped(node, self.text(node.operand)),
            )
        self.generic_visit(node)

    def visit_Call(self, node: ast.Call) -> None:
        name = (
            node.func.id
            if isinstance(node.func, ast.Name)
            else (node.func.attr if isinstance(node.func, ast.Attribute) else "")
        )
        if name in OTHER_CALL and isinstance(node.func, ast.Name):
            self.place("other call", self.span(node.func), OTHER_CALL[name])
            if len(node.args) == 2 and not node.keywords:
                self.place(
                    "dropped operand",
                    self.span(node),
                    *(self.wrapped(node, self.text(one)) for one in node.args),
                )
        if name not in SYMMETRIC:
            for one, other in zip(node.args, node.args[1:], strict=False):
                (start, end), (after, stop) = self.span(one), self.span(other)
                between = self.source[end:after].decode()
                self.place("swapped arguments", (start, stop), f"{self.text(other)}{between}{self.text(one)}")
        self.generic_visit(node)

    def visit_Name(self, node: ast.Name) -> None:
        if node.id == "inf":
            self.place("constant", self.span(node), "0.0")

    def visit_Constant(self, node: ast.Constant) -> None:
        value = node.value
        if isinstance(value, bool):
            self.place("constant", self.span(node), str(not value))
        elif isinstance(value, int | float):
            scaled = (value * 0, value * 2, value * 35, value + 1, value - 1)
            self.place(
                "constant",
                self.span(node),
                *(self.wrapped(node, repr(one)) for one in scaled if one != value),
            )


def all_places() -> tuple[dict[str, bytes], list[list[Mutant]]]:
    """The files, and for each place in them the changes that can be made there, with their ids."""
    sources = {file: (ROOT / file).read_bytes() for file in FILES}
    seen, places = Counter[str](), []
    for file, source in sources.items():
        for place in _Places(file, source).places:
            named = []
            for one in place:
                lines = [line.strip() for line in one.diff(source).splitlines() if line[:2] != "@@"]
                what = "|".join([file, one.where, *lines])
                seen[what] += 1  # the same line may stand in a function twice
                number = hashlib.sha256(f"{what}|{seen[what]}".encode()).hexdigest()[:8]
                named.append(Mutant(one.file, one.kind, one.start, one.end, one.new, number, one.where))
            places.append(named)
    return sources, places


@dataclass(frozen=True)
class Verdict:
    """How the tests took a change."""

    mutant: Mutant
    verdict: str  # killed, timeout, survived
    by: str  # the first test that failed
    took_s: float


def _copy(target: Path) -> Path:
    for name in COPIED:
        source = ROOT / name
        if source.is_dir():
            shutil.copytree(source, target / name, ignore=shutil.ignore_patterns("__pycache__", "testbed"))
        else:
            shutil.copy(source, target / name)
    with (target / "tests" / "conftest.py").open("a") as conftest:
        conftest.write(NO_SHRINKING)
    return target


def _test(copy: Path, limit_s: int) -> tuple[int | None, str]:
    """Run the tests in a copy until one fails: their exit code (None: out of time) and which one it was."""

    def bounded() -> None:
        resource.setrlimit(resource.RLIMIT_AS, (MEMORY, MEMORY))
        resource.setrlimit(resource.RLIMIT_CPU, (limit_s, limit_s))

    tests = [str(path.relative_to(copy)) for pattern in TESTS for path in sorted(copy.glob(pattern))]
    command = [sys.executable, "-m", "pytest", "-x", "-q", "--tb=no", "-rfE", "-p", "no:cacheprovider"]
    # Written within the same second a changed file may look like the one whose byte code was kept.
    environment = {**os.environ, "PYTHONDONTWRITEBYTECODE": "1", "PYTHONPATH": str(copy)}
    with subprocess.Popen(
        [*command, *tests],
        cwd=copy,
        env=environment,
        text=True,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        start_new_session=True,
        preexec_fn=bounded,
    ) as child:
        try:
            said, _ = child.communicate(timeout=limit_s * WALL)
        except subprocess.TimeoutExpired:
            os.killpg(child.pid, signal.SIGKILL)
            raise
    if child.returncode in (-signal.SIGXCPU, -signal.SIGKILL):
        return None, ""
    failed = re.search(r"^(?:FAILED|ERROR) (\S+)", said, re.MULTILINE)
    return child.returncode, failed[1] if failed else ""


def run(sources: dict[str, bytes], mutants: list[Mutant], jobs: int, limit_s: int) -> Iterator[Verdict]:
    """Run the tests on each change, `jobs` at a time; a change is in its copy only while they run."""
    with tempfile.TemporaryDirectory(prefix="mutants-") as folder:
        copies: SimpleQueue[Path] = SimpleQueue()
        for number in range(jobs):
            copies.put(_copy(Path(folder) / str(number)))

        def one(mutant: Mutant) -> Verdict:
            copy, began = copies.get(), time.monotonic()
            try:
                (copy / mutant.file).write_bytes(mutant.apply(sources[mutant.file]))
                code, by = _test(copy, limit_s)
            finally:
                (copy / mutant.file).write_bytes(sources[mutant.file])
                copies.put(copy)
            if code not in (None, 0, 1, 2):
                raise RuntimeError(f"the tests ended with code {code} on {mutant.id}")
            verdict = "timeout" if code is None else "killed" if code else "survived"
            return Verdict(mutant, verdict, by, time.monotonic() - began)

        began = time.monotonic()
        copy = copies.get()
        code, by = _test(copy, 600)
        copies.put(copy)
        if code != 0:
            sys.exit(f"the tests fail without any change: {by}")
        print(f"without a change the tests take {time.monotonic() - began:.1f} s", flush=True)
        with ThreadPoolExecutor(jobs) as pool:
            yield from pool.map(one, mutants)


def main() -> None:
    """Draw, run, print."""
    options = argparse.ArgumentParser(description="Which small changes of module and reducer no test sees")
    options.add_argument("--seed", type=int, default=0)
    options.add_argument("--count", type=int, default=200, help="places to draw; 0: each place")
    options.add_argument("--jobs", type=int, default=os.cpu_count() or 1)
    options.add_argument("--limit", type=int, default=60, help="seconds of CPU for the tests on one change")
    options.add_argument("--only", action="append", default=[], help="run this id, whatever else is drawn")
    options.add_argument("--list", action="store_true", help="print the changes and run nothing")
    options.add_argument("--json", type=Path, help="write the verdicts here")
    chosen = options.parse_args()

    sources, places = all_places()
    judged = {one["id"]: one["reason"] for one in tomllib.loads(EQUIVALENT.read_text()).get("mutant", [])}
    everything = [one for place in places for one in place]
    for stale in judged.keys() - {one.id for one in everything}:
        print(f"judged equivalent, but no longer there: {stale}")
    if chosen.only:
        mutants = [one for one in everything if one.id in chosen.only]
    else:
        draw = random.Random(chosen.seed)
        drawn = draw.sample(places, min(chosen.count or len(places), len(places)))
        mutants = [draw.choice(place) for place in drawn]
    print(
        f"{len(places)} places, {len(everything)} changes; seed {chosen.seed}, {len(mutants)} drawn",
        flush=True,
    )
    if chosen.list:
        for one in mutants:
            print(f"\n{one.id} {one.file} {one.where}: {one.kind}\n{one.diff(sources[one.file])}")
        return

    began, verdicts = time.monotonic(), []
    for verdict in run(sources, mutants, chosen.jobs, chosen.limit):
        verdicts.append(verdict)
        mutant = verdict.mutant
        if verdict.verdict == "survived" and mutant.id not in judged:
            print(
                f"\nsurvived {mutant.id} {mutant.file} {mutant.where}: {mutant.kind}\n"
                f"{mutant.diff(sources[mutant.file])}",
                flush=True,
            )
        elif verdict.verdict != "survived" and mutant.id in judged:
            print(f"\njudged equivalent, but killed by {verdict.by}: {mutant.id}", flush=True)
    if chosen.json:
        chosen.json.write_text(
            "".join(
                json.dumps(
                    {
                        "id": one.mutant.id,
                        "file": one.mutant.file,
                        "where": one.mutant.where,
                        "kind": one.mutant.kind,
                        "diff": one.mutant.diff(sources[one.mutant.file]),
                        "verdict": one.verdict,
                        "by": one.by,
                        "took_s": round(one.took_s, 2),
                    }
                )
                + "\n"
                for one in verdicts
            )
        )
    count = Counter(one.verdict for one in verdicts)
    alike = sum(one.verdict == "survived" and one.mutant.id in judged for one in verdicts)
    caught = count["killed"] + count["timeout"]
    print(
        f"\n{len(verdicts)} changes in {time.monotonic() - began:.0f} s with {chosen.jobs} jobs: "
        f"{count['killed']} killed, {count['timeout']} timed out, {count['survived']} survived, "
        f"{alike} of those judged equivalent"
    )
    print(
        f"noticed: {caught / max(1, len(verdicts)):.1%} of all, "
        f"{caught / max(1, len(verdicts) - alike):.1%} of those that can make a difference"
    )


if __name__ == "__main__":
    main()
