"""The command line: each role, and each verb of the operators, is a subcommand."""

from __future__ import annotations

import os
import sys

import cyclopts

from coveport.system.wire.names import SETTINGS_VARIABLE

NO_SETTINGS = 2  # exit code

app = cyclopts.App(
    name="coveport-system", help="Serving for language models across regions.", version_flags=[]
)


def _settings_path(given: str | None) -> str:
    path = given or os.environ.get(SETTINGS_VARIABLE)
    if not path:
        print(f"coveport: name a settings file, or set {SETTINGS_VARIABLE}", file=sys.stderr)
        raise SystemExit(NO_SETTINGS)
    return path


@app.command
def coordinator(settings: str | None = None) -> int:
    """Run a coordinator: keeps the configuration, knows nodes and proxies.

    Parameters
    ----------
    settings
        The boot settings (TOML); without it, the file that COVEPORT_NODE_FILE names.

    """
    from coveport.system.coordinator.process import run

    return run(_settings_path(settings))


@app.command
def proxy(settings: str | None = None) -> int:
    """Run a proxy: takes clients' requests and forwards them to nodes.

    Parameters
    ----------
    settings
        The boot settings (TOML); without it, the file that COVEPORT_NODE_FILE names.

    """
    from coveport.system.proxy.process import run

    return run(_settings_path(settings))


# Imported only when one is called: a role's start must not pay for them.
app.command("coveport.system.cli.check:app", name="check", help="Check a file before it is used.")
app.command("coveport.system.cli.config:app", name="config", help="Read or change the configuration.")
app.command("coveport.system.cli.zones:evacuate", name="evacuate", help="Keep requests away from a zone.")
app.command("coveport.system.cli.show:nodes", name="nodes", help="List the nodes.")
app.command("coveport.system.cli.show:members", name="members", help="List coordinators and proxies.")
app.command("coveport.system.cli.show:status", name="status", help="Show the state of the core.")


def main() -> int:
    """Carry out `sys.argv`; the exit code."""
    result = app()
    return int(result) if result is not None else 0
