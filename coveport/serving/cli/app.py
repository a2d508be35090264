"""The command line: a subcommand for each role and each operator verb."""

from __future__ import annotations

import cyclopts

from coveport.serving.cli.roles import run_role

app = cyclopts.App(
    name="coveport-system", help="Serving for language models across regions.", version_flags=[]
)


@app.command
def coordinator(settings: str | None = None) -> int:
    """Run a coordinator: keeps the configuration, knows nodes and proxies.

    Parameters
    ----------
    settings
        The boot settings (TOML); without it, the file that COVEPORT_NODE_FILE names.

    """
    return run_role("coordinator", settings)


@app.command
def proxy(settings: str | None = None) -> int:
    """Run a proxy: takes clients' requests and forwards them to nodes.

    Parameters
    ----------
    settings
        The boot settings (TOML); without it, the file that COVEPORT_NODE_FILE names.

    """
    return run_role("proxy", settings)


# A verb's module is imported when the verb is called, so that a role starts without loading it.
app.command("coveport.serving.cli.check:app", name="check", help="Check a file before it is used.")
app.command("coveport.serving.cli.configuration:app", name="config", help="Read or change the configuration.")
app.command("coveport.serving.cli.evacuate:evacuate", name="evacuate", help="Keep requests away from a zone.")
app.command("coveport.serving.cli.show:nodes", name="nodes", help="List the nodes.")
app.command("coveport.serving.cli.show:members", name="members", help="List coordinators and proxies.")
app.command("coveport.serving.cli.show:status", name="status", help="Show the state of the core.")
app.command("coveport.serving.cli.explain:explain", name="explain", help="Say where a day's worth went.")
app.command(
    "coveport.serving.simulation.local_day:run",
    name="try",
    help="Play a short day on loopback; 0: no rule broke.",
)
app.command(
    "coveport.serving.simulation.simulate:run",
    name="simulate",
    help="Play drawn days in simulated time; 0: no rule broke.",
)
app.command("coveport.serving.scale.verb:app", name="scale", help="Measure the system at a size.")


def main() -> int:
    """Run the subcommand that `sys.argv` names, and return the exit code."""
    result = app()
    return int(result) if result is not None else 0
