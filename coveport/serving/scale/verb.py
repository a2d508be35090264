"""`scale`: a scale run on this machine, and linear fits of several runs' figures."""

from __future__ import annotations

import asyncio
import json
import shutil
import tempfile
from pathlib import Path
from random import Random
from typing import Annotated

from cyclopts import App, Parameter

from coveport.net.transport import Net
from coveport.serving.cli.core_options import AsJson
from coveport.serving.cli.exit_codes import ExitCode
from coveport.serving.cli.output import print_error, print_json, print_table
from coveport.serving.scale.machines import Machines
from coveport.serving.scale.meters import machine_memory_mb
from coveport.serving.scale.results import ScaleResult, as_json, rows
from coveport.serving.scale.run import RunNotStartedError, ScaleRun
from coveport.serving.scale.sizes import ScaleSize

# Memory per process, hollow proxy and route; a run must stay below half of the machine's memory.
ROLE_MB, WORKER_MB, HOLLOW_PROXY_MB, ROUTE_KB = 45.0, 30.0, 1.0, 6.0
TEXT_KB = 0.35  # size of a route in the configuration's text, which each hollow proxy keeps whole
COLUMNS = ("figure", "by", "base", "slope", "spread", "at target")

app = App(
    name="scale",
    help="Run the system at a size on this machine, with hollow proxies and nodes, and measure it.",
)


@app.default
def run(
    *,
    proxies: Annotated[int, Parameter(help="Hollow proxies: real subscriptions, no traffic.")] = 30,
    nodes: Annotated[int, Parameter(help="Hollow nodes: real heartbeats, no traffic.")] = 100,
    coordinators: Annotated[int, Parameter(help="Real coordinators, 3 to 6.")] = 3,
    real_proxies: Annotated[int, Parameter(help="Real proxies beside them.")] = 2,
    routes: Annotated[int, Parameter(help="Routes of the configuration.")] = 1000,
    seconds: Annotated[float, Parameter(help="Seconds to measure; the start comes on top.")] = 60.0,
    seed: Annotated[int, Parameter(help="Draws the machines that are lost and restarted.")] = 1,
    as_json_text: AsJson = False,
    logs: Annotated[Path | None, Parameter(help="Folder that keeps the processes' logs.")] = None,
    write: Annotated[Path | None, Parameter(help="File for the figures as JSON.")] = None,
    report: Annotated[Path | None, Parameter(help="File for a page with charts.")] = None,
) -> int:
    """Run the system at a size and measure it; faults are among it.

    Everything is real but the traffic; all processes are ended with it. Exit
    codes: 0 all came about, 1 something did not, 2 wrong input.
    """
    try:
        size = ScaleSize(proxies, nodes, coordinators, real_proxies, routes)
    except ValueError as error:
        print_error(str(error))
        return ExitCode.WRONG_INPUT
    if not 0 < seconds <= 600:
        print_error("seconds must be above 0 and at most 600")
        return ExitCode.WRONG_INPUT
    needed_mb, limit_mb = _needed_mb(size), machine_memory_mb() / 2
    if needed_mb > limit_mb:
        print_error(f"needs about {needed_mb:.0f} MB, more than half of this machine's memory")
        return ExitCode.WRONG_INPUT
    try:
        result = asyncio.run(_run(size, seconds, seed, logs))
    except RunNotStartedError as error:
        print_error(str(error))
        return ExitCode.REFUSED
    if write is not None:
        write.write_text(json.dumps(as_json(result), indent=1) + "\n", encoding="utf-8")
    if report is not None:
        from coveport.serving.scale.page import render

        report.write_text(render([as_json(result)]), encoding="utf-8")
    if as_json_text:
        print_json(as_json(result))
    else:
        print_table(("figure", "value"), rows(result))
    return ExitCode.REFUSED if result.problems else ExitCode.DONE


@app.command
def page(results: list[Path], /, *, output: Path = Path("scale.html")) -> int:
    """Draw the figures of several runs, written with --write, against their size."""
    from coveport.serving.scale.page import render

    try:
        loaded = [json.loads(path.read_text(encoding="utf-8")) for path in results]
        output.write_text(render(loaded), encoding="utf-8")
    except (OSError, ValueError, KeyError) as error:
        print_error(f"{type(error).__name__}: {error}")
        return ExitCode.WRONG_INPUT
    return ExitCode.DONE


@app.command
def slopes(results: list[Path], /, *, as_json_text: AsJson = False) -> int:
    """Lines through the figures of several runs, and what they say of the target size."""
    from coveport.serving.scale.sloping import TooFewPointsError, slope_rows

    try:
        loaded = [json.loads(path.read_text(encoding="utf-8")) for path in results]
        fit_rows = slope_rows(loaded)
    except (OSError, ValueError, KeyError, TooFewPointsError) as error:
        print_error(f"{type(error).__name__}: {error}")
        return ExitCode.WRONG_INPUT
    if as_json_text:
        print_json([dict(zip(COLUMNS, row, strict=True)) for row in fit_rows])
    else:
        print_table(COLUMNS, fit_rows)
    return ExitCode.DONE


def _needed_mb(size: ScaleSize) -> float:
    text_mb = size.routes * TEXT_KB / 1024
    roles = (size.coordinators + size.real_proxies) * (ROLE_MB + size.routes * ROUTE_KB / 1024)
    workers = 14 * (WORKER_MB + size.routes * ROUTE_KB / 1024)
    return roles + workers + size.proxies * (HOLLOW_PROXY_MB + text_mb)


async def _run(size: ScaleSize, seconds: float, seed: int, logs: Path | None) -> ScaleResult:
    net = Net(asyncio.get_running_loop())
    with tempfile.TemporaryDirectory(prefix="coveport-scale-") as folder:
        machines = Machines(net, Path(folder), size)
        try:
            return await ScaleRun(net, machines, seconds, Random(seed), print_error).run()
        finally:
            if logs is not None:
                _save_logs(Path(folder), logs)


def _save_logs(source: Path, target: Path) -> None:
    target.mkdir(parents=True, exist_ok=True)
    for log in source.glob("*.log"):
        shutil.copy(log, target)
