"""The root of all verbs: help, version, and how whatever goes wrong becomes one line and an exit code."""

from __future__ import annotations

import importlib.metadata
import sys
import tomllib
import traceback
from pathlib import Path
from typing import Any, NoReturn

import click

from coveport.cli.check import check
from coveport.cli.exit_codes import ExitCode
from coveport.cli.fleet import fleet
from coveport.cli.intent_log import work
from coveport.cli.lab import lab
from coveport.cli.rollout import rollout
from coveport.cli.run import run
from coveport.cli.singletons import duties


def version() -> str:
    """The version as installed, or as the source tree has it where nothing is installed."""
    try:
        return importlib.metadata.version("coveport")
    except importlib.metadata.PackageNotFoundError:
        told = Path(__file__).parents[2] / "pyproject.toml"
        if not told.is_file():
            return "unknown"
        return str(tomllib.loads(told.read_text(encoding="utf-8"))["project"]["version"])


class Root(click.Group):
    """A group whose verbs return their exit code, and whose errors are one line."""

    debug = False

    def main(self, *args: Any, **options: Any) -> NoReturn:
        """Run and exit. Options are click's; `standalone_mode` has no effect."""
        try:
            code = super().main(*args, **{**options, "standalone_mode": False})
        except click.exceptions.NoArgsIsHelpError as problem:
            problem.show()
            code = ExitCode.UNUSABLE
        except click.UsageError as problem:
            where = problem.ctx.command_path if problem.ctx else "coveport"
            code = self._say(where, f"{problem.format_message()} (see {where} --help)", ExitCode.UNUSABLE)
        except click.ClickException as problem:
            code = self._say("coveport", problem.format_message(), ExitCode.UNUSABLE)
        except (click.Abort, KeyboardInterrupt):
            code = self._say("coveport", "interrupted", ExitCode.INTERRUPTED)
        except ModuleNotFoundError as problem:
            code = self._say(
                "coveport",
                f"{problem}; the lab's packages come with: pip install 'coveport[lab]'",
                ExitCode.UNUSABLE,
            )
        except OSError as problem:
            where = f"{problem.filename}: " if problem.filename else ""
            code = self._say("coveport", f"{where}{problem.strerror or problem}", ExitCode.UNUSABLE)
        except Exception as problem:
            code = self._say(
                "coveport",
                f"a fault of our own: {type(problem).__name__}: {problem} (coveport --debug ... shows where)",
                ExitCode.INTERNAL_ERROR,
            )
        sys.exit(code)

    def _say(self, who: str, what: str, code: int) -> int:
        if self.debug:
            traceback.print_exc()
        click.echo(f"{who}: {' '.join(what.split())}", err=True)
        return code


EPILOG = """\b
Examples:
  coveport check example/config.json          is this configuration usable?
  coveport run --config example/config.json   a sidecar
  coveport lab list                           days that come with the lab
  coveport lab run try --report try.html      play one and look at it
  coveport lab sweep try --seeds 1-20 --grid load.level=0.3,0.5 --out out/levels
  coveport lab compare out/before out/after   is the difference beyond chance?
  coveport lab search calm --runs 500 --out out/calm   what breaks that nobody drew?

\b
Exit codes:
  0    done; where a day was played: rules and expectations hold
  1    a rule was broken or an expectation missed
  2    the file or the call can't be used
  3    void: the machine ran late, the figures say nothing of the sidecar
  70   a fault of our own
  130  interrupted (Ctrl-C)
"""


@click.group("coveport", cls=Root, epilog=EPILOG, context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(version(), prog_name="coveport")
@click.option(
    "--debug",
    is_flag=True,
    expose_value=False,
    is_eager=True,
    callback=lambda ctx, _param, value: setattr(ctx.command, "debug", value),
    help="Show where an error came from.",
)
def root() -> None:
    """The sidecar of the shared points ledger, and the lab that plays days around it.

    `run` and `check` are the sidecar itself. `lab` plays days: ledger nodes, tills, discovery and faults, all
    of them stand-ins, around real sidecars; then it judges what came of them.
    """


root.add_command(run)
root.add_command(check)
root.add_command(duties)
root.add_command(rollout)
root.add_command(work)
root.add_command(fleet)
root.add_command(lab)
