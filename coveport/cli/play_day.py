"""`coveport lab run` and `coveport lab explain`: play one day."""

from __future__ import annotations

from collections.abc import Sequence
from pathlib import Path

import click

from coveport.cli.exit_codes import ExitCode
from coveport.cli.lab_options import GROUND, OUT_FILE, OUT_FOLDER, usage_errors
from coveport.cli.lab_output import make_parent_folders, write_output
from coveport.cli.progress import fraction_bar


@click.command("explain", short_help="Say where a day's worth was lost.")
@click.argument("day")
@click.option("--seed", type=click.IntRange(min=0), help="All chance comes of it; by default the file's.")
@GROUND
@click.option("--json", "json_", type=OUT_FILE, metavar="OUT", help="Write the picture there (-: print it).")
@click.option("--set", "sets", multiple=True, metavar="KEY=VALUE", help="Change a figure of the day's file.")
def explain(day: str, seed: int | None, ground: str, json_: Path | None, sets: Sequence[str]) -> int:
    """Play DAY once, and print what was lost by which cause in each window, and how full each node was."""
    with usage_errors(ground):
        import msgspec

        from coveport.testbed import explain as explaining
        from coveport.testbed.catalog import find
        from coveport.testbed.run import play
        from coveport.testbed.scenario_file import load

        scenario = load(find(day), sets)
        make_parent_folders(json_)
        with fraction_bar(day) as progress:
            played = play(
                scenario, seed=scenario.seed if seed is None else seed, ground=ground, progress=progress
            )
    explanation = explaining.explain(played)
    if json_ is None or str(json_) != "-":
        click.echo(explaining.text(explanation, scenario.fleet.zones))
    if json_ is not None:
        write_output(json_, msgspec.json.format(msgspec.json.encode(explanation), indent=2))
    return ExitCode.DONE


RUN_EPILOG = """\b
Examples:
  coveport lab run try --report try.html
  coveport lab run days/mine.toml --seed 7 --set load.level=0.6
  coveport lab run try --ground real --logs out/logs
"""


@click.command("run", epilog=RUN_EPILOG)
@click.argument("day")
@click.option("--seed", type=click.IntRange(min=0), help="All chance comes of it; by default the file's.")
@GROUND
@click.option("--json", "json_", type=OUT_FILE, metavar="OUT", help="Write the outcome there (-: print it).")
@click.option("--report", type=OUT_FILE, metavar="OUT.html", help="Write a report with plots there.")
@click.option("--set", "sets", multiple=True, metavar="KEY=VALUE", help="Change a figure of the day's file.")
@click.option("--variant", default="", metavar="NAME", help="Which variant of the sidecar.")
@click.option("--logs", type=OUT_FOLDER, metavar="DIR", help="Keep what each sidecar printed there.")
def run(
    day: str,
    seed: int | None,
    ground: str,
    json_: Path | None,
    report: Path | None,
    sets: Sequence[str],
    variant: str,
    logs: Path | None,
) -> int:
    """Play DAY once, judge it, and print what came of it. A DAY may be a trial (trials/...).

    Exit code 0 where rules and expectations hold, 1 where not, 2 where the file or the call can't be used,
    3 where the machine ran late and the run is void.
    """
    with usage_errors(ground, [variant]):
        from coveport.testbed.catalog import find
        from coveport.testbed.fault_injection.days import is_trial
        from coveport.testbed.outcome import encode
        from coveport.testbed.report import summary_text, write
        from coveport.testbed.run import play_and_judge
        from coveport.testbed.scenario_file import load

        path = find(day)
        if is_trial(path):
            from coveport.cli.trials import play_trial

            return play_trial(path, seed, ground, variant, sets, logs)
        scenario = load(path, sets)
        seed = scenario.seed if seed is None else seed
        make_parent_folders(json_, report)
        if logs is not None:
            logs.mkdir(parents=True, exist_ok=True)
        with fraction_bar(f"{path.stem}, seed {seed}") as progress:
            played, outcome = play_and_judge(
                scenario,
                name=path.stem,
                seed=seed,
                ground=ground,
                variant=variant,
                logs=logs,
                progress=progress,
            )
        click.echo(summary_text(outcome), err=str(json_) == "-")
        if json_ is not None:
            write_output(json_, encode(outcome))
        if report is not None:
            write(report, played, outcome)
            click.echo(f"report: {report}", err=str(json_) == "-")
    if outcome.late:
        return ExitCode.VOID
    is_passed = (
        outcome.kept and not outcome.broken and all(expectation.met for expectation in outcome.expectations)
    )
    return ExitCode.DONE if is_passed else ExitCode.FAILED
