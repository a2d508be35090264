"""The operator's file: its values and defaults, and that all faults are reported at once."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest

from coveport.sidecar.config.errors import OperatorFileError
from coveport.sidecar.config.operator_file import load, read

ROOT = Path(__file__).resolve().parents[3]
MINIMAL = '[instance]\nplatform = "p.json"\n[store]\nurl = "sqlite:x.db"\n'


def faults(text: str) -> list[str]:
    with pytest.raises(OperatorFileError) as error:
        read(text, Path("/somewhere"))
    return str(error.value).splitlines()


def test_the_annotated_file_has_all_keys_and_no_faults() -> None:
    operator_file = load(ROOT / "deploy/coveport.toml")
    assert operator_file.platform == ROOT / "deploy/../example/config.json"
    assert operator_file.duties.contended_roles(0) == ()
    text = (ROOT / "deploy/coveport.toml").read_text()
    for section in (
        operator_file.instance,
        operator_file.store,
        operator_file.leases,
        operator_file.duties,
        operator_file.log,
    ):
        for name in section.__struct_fields__:
            assert f"\n{name} = " in text


def test_a_key_that_is_left_out_has_the_annotated_default() -> None:
    minimal = read(MINIMAL, Path("/somewhere"))
    assert minimal.leases == load(ROOT / "deploy/coveport.toml").leases
    assert minimal.sqlite == Path("/somewhere/x.db") and minimal.endpoints == ()
    on_etcd = read(MINIMAL.replace("sqlite:x.db", "etcd://a:1, b:2"), Path("/"))
    assert on_etcd.sqlite is None and on_etcd.endpoints == ("a:1", "b:2")
    with_roles = read(MINIMAL + "[duties]\nwarden = true\ndrill = true\nlooking = true\n", Path("/"))
    assert with_roles.duties.contended_roles(2) == ("warden@2", "drill")


def test_all_faults_are_reported_at_once() -> None:
    lines = faults(
        '[instance]\nname = 7\n[store]\nurl = "paper:x"\nprefix = "x"\n[leases]\nttl = 0.1\nspeed = 1\n'
        '[duties]\nrollout = "yes"\n[more]\n'
    )
    text = "\n".join(lines)
    for expected in (
        "[instance] name",
        "[instance] platform is missing",
        "[store] url",
        "[store] prefix",
        "[leases] speed",
        "[duties] rollout",
        "[more]",
    ):
        assert expected in text
    assert len(lines) >= 7


@pytest.mark.parametrize(
    ("change", "fault"),
    [
        ('url = "etcd://a"', "is no HOST:PORT"),
        ('url = "etcd://a:0"', "is no HOST:PORT"),
        ('url = "sqlite:"', "url"),
        ('url = "etcd://a:1"\n[leases]\nttl = 2.5', "whole seconds"),
        ('url = "sqlite:x"\n[leases]\nttl = 1.0\nmargin = 0.4', "no room for a renewal"),
    ],
)
def test_each_fault_is_found_by_itself(change: str, fault: str) -> None:
    assert any(fault in line for line in faults(MINIMAL.replace('url = "sqlite:x.db"', change)))


def test_no_toml_and_no_file_give_one_line_and_exit_code_2(tmp_path: Path) -> None:
    path = tmp_path / "x.toml"
    path.write_text("[instance\n")
    completed = subprocess.run(
        [sys.executable, "-m", "coveport", "run", "--config", str(path)],
        capture_output=True,
        text=True,
        check=False,
    )
    assert completed.returncode == 2 and completed.stderr.count("\n") == 1 and str(path) in completed.stderr
    path.write_text(MINIMAL)
    completed = subprocess.run(
        [sys.executable, "-m", "coveport", "run", "--config", str(path)],
        capture_output=True,
        text=True,
        check=False,
    )
    assert completed.returncode == 2 and "p.json" in completed.stderr and completed.stderr.count("\n") == 1


def test_check_prints_the_load_that_records_put_on_the_store(tmp_path: Path) -> None:
    (tmp_path / "p.json").write_text((Path(__file__).parents[3] / "example" / "config.json").read_text())
    path = tmp_path / "x.toml"
    path.write_text(
        '[instance]\nplatform = "p.json"\n[store]\nurl = "sqlite:x.db"\n'
        '[work]\nrecord = ["earn", "redeem"]\nkept_s = 100.0\n'
    )
    completed = subprocess.run(
        [sys.executable, "-m", "coveport", "check", str(path), "--rate", "50"],
        capture_output=True,
        text=True,
        check=False,
    )
    assert completed.returncode == 0, completed.stderr
    assert "100 writes a second" in completed.stdout and "5,000 records kept" in completed.stdout
