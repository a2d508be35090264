"""Roles and verbs import only the modules that they need."""

from __future__ import annotations

import os
import subprocess
import sys

ROLE = """
import sys
from coveport.serving.cli.app import app
try:
    app(["coordinator", "--settings", "/nothing/there"])
except SystemExit as error:
    assert error.code == 2, error.code
print(*[name for name in sys.modules if name.startswith("coveport.serving.cli.")])
"""


def test_a_role_imports_none_of_the_verbs() -> None:
    completed = subprocess.run([sys.executable, "-c", ROLE], capture_output=True, text=True, check=True)
    assert sorted(completed.stdout.split()) == ["coveport.serving.cli.app", "coveport.serving.cli.roles"]


def test_a_role_started_by_name_imports_no_command_line() -> None:
    program = "import sys; sys.argv = ['coveport', 'proxy']; from coveport.serving.__main__ import main; "
    program += "print(main(), *[name for name in sys.modules if name.startswith(('coveport.s', 'cyclopts'))])"
    environment = {name: value for name, value in os.environ.items() if name != "COVEPORT_NODE_FILE"}
    completed = subprocess.run(
        [sys.executable, "-c", program], capture_output=True, text=True, check=True, env=environment
    )
    code, *loaded = completed.stdout.split()
    assert code == "2"
    assert sorted(loaded) == [
        "coveport.serving",
        "coveport.serving.__main__",
        "coveport.serving.cli",
        "coveport.serving.cli.roles",
        "coveport.serving.wire",
        "coveport.serving.wire.names",
    ]


def test_a_verb_imports_no_role() -> None:
    verb = ROLE.replace(
        '["coordinator", "--settings", "/nothing/there"]', '["check", "settings", "/nothing/there"]'
    )
    verb = verb.replace("coveport.serving.cli.", "coveport.serving.")
    verb = verb.replace("from coveport.serving.app", "from coveport.serving.cli.app")
    completed = subprocess.run([sys.executable, "-c", verb], capture_output=True, text=True, check=True)
    loaded = completed.stdout.split()
    assert "coveport.serving.cli.check" in loaded
    assert [name for name in loaded if ".coordinator" in name or ".proxy" in name] == []
