"""A role's start doesn't pay for the operators' verbs."""

from __future__ import annotations

import os
import subprocess
import sys

ROLE = """
import sys
from coveport.serving.cli.app import app
try:
    app(["coordinator", "--settings", "/nothing/there"])
except SystemExit as ended:
    assert ended.code == 2, ended.code
print(*[name for name in sys.modules if name.startswith("coveport.serving.cli.")])
"""


def test_a_role_imports_none_of_the_verbs() -> None:
    ran = subprocess.run([sys.executable, "-c", ROLE], capture_output=True, text=True, check=True)
    assert sorted(ran.stdout.split()) == ["coveport.serving.cli.app", "coveport.serving.cli.roles"]


def test_a_role_by_its_name_alone_imports_no_command_line() -> None:
    told = "import sys; sys.argv = ['coveport', 'proxy']; from coveport.serving.__main__ import main"
    told += "; print(main(), *[name for name in sys.modules if name.startswith(('coveport.s', 'cyclopts'))])"
    environment = {name: value for name, value in os.environ.items() if name != "COVEPORT_NODE_FILE"}
    ran = subprocess.run(
        [sys.executable, "-c", told], capture_output=True, text=True, check=True, env=environment
    )
    code, *loaded = ran.stdout.split()
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
    ran = subprocess.run([sys.executable, "-c", verb], capture_output=True, text=True, check=True)
    loaded = ran.stdout.split()
    assert "coveport.serving.cli.check" in loaded
    assert [name for name in loaded if ".coordinator" in name or ".proxy" in name] == []
