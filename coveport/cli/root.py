"""The root of all verbs: help, version, and how each error becomes one line and an exit code."""

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
    """Return the version as installed, or as the source tree has it where nothing is installed."""
    try:
        return importlib.metadata.version("coveport")
    except importlib.metadata.PackageNotFoundError:
        project_file = Path(__file__).parents[2] / "pyproject.toml"
        if not project_file.is_file():
            return "unknown"
        return str(tomllib.loads(project_file.read_text(encoding="utf-8"))["project"]["version"])


class Root(click.Group):
    """A group whose verbs return their exit code, and whose errors are one line."""

    debug = False

    def main(self, *args: Any, **options: Any) -> NoReturn:
        """Run and exit. Options are click's; `standalone_mode` has no effect."""
        try:
            code = super().main(*args, **{**options, "standalone_mode": False})
        except click.exceptions.NoArgsIsHelpError as error:
            error.show()
            code = ExitCode.UNUSABLE
        except click.UsageError as error:
            command = error.ctx.command_path if error.ctx else "coveport"
            code = self._report(
                command, f"{error.format_message()} (see {command} --help)", ExitCode.UNUSABLE
            )
        except click.ClickException as error:
            code = self._report("coveport", error.format_message(), ExitCode.UNUSABLE)
        except (click.Abort, KeyboardInterrupt):
            code = self._report("coveport", "interrupted", ExitCode.INTERRUPTED)
        except ModuleNotFoundError as error:
            code = self._report(
                "coveport",
                f"{error}; the lab's packages come with: pip install 'coveport[lab]'",
                ExitCode.UNUSABLE,
            )
        except OSError as error:
            file = f"{error.filename}: " if error.filename else ""
            code = self._report("coveport", f"{file}{error.strerror or error}", ExitCode.UNUSABLE)
        except Exception as error:  # noqa: BLE001  # a defect of ours must end with a code of its own
            code = self._report(
                "coveport",
                f"a fault of our own: {type(error).__name__}: {error} (coveport --debug ... shows where)",
                ExitCode.INTERNAL_ERROR,
            )
        sys.exit(code)

    def _report(self, command: str, message: str, code: ExitCode) -> ExitCode:
        """Print one line on standard error, and return the code."""
        if self.debug:
            traceback.print_exc()
        click.echo(f"{command}: {' '.join(message.split())}", err=True)
        return code


HELP = """\
The sidecar of the shared points ledger, and the lab that plays days around it.

`run` and `check` are the sidecar itself. `lab` plays days: ledger nodes, tills, discovery and faults, all
of them stand-ins, around real sidecars; then it judges what came of them.
"""

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


@click.group(
    "coveport", cls=Root, help=HELP, epilog=EPILOG, context_settings={"help_option_names": ["-h", "--help"]}
)
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
    """Group all verbs; HELP is the text of `coveport --help`."""


root.add_command(run)
root.add_command(check)
root.add_command(duties)
root.add_command(rollout)
root.add_command(work)
root.add_command(fleet)
root.add_command(lab)
