"""The operator's file: what it comes to, and that all of its faults are told in one go."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest

from coveport.sidecar.config.operator_file import OperatorFileError, load, read

ROOT = Path(__file__).resolve().parents[3]
GOOD = '[instance]\nplatform = "p.json"\n[store]\nurl = "sqlite:x.db"\n'


def faults(text: str) -> list[str]:
    with pytest.raises(OperatorFileError) as problem:
        read(text, Path("/somewhere"))
    return str(problem.value).splitlines()


def test_the_annotated_one_holds_all_keys_and_is_good() -> None:
    told = load(ROOT / "deploy/coveport.toml")
    assert told.platform == ROOT / "deploy/../example/config.json" and told.duties.wished(0) == ()
    text = (ROOT / "deploy/coveport.toml").read_text()
    for section in (told.instance, told.store, told.leases, told.duties, told.log):
        for name in section.__struct_fields__:
            assert f"\n{name} = " in text


def test_what_is_left_out_is_as_annotated() -> None:
    told = read(GOOD, Path("/somewhere"))
    assert told.leases == load(ROOT / "deploy/coveport.toml").leases
    assert told.sqlite == Path("/somewhere/x.db") and told.endpoints == ()
    many = read(GOOD.replace("sqlite:x.db", "etcd://a:1, b:2"), Path("/"))
    assert many.sqlite is None and many.endpoints == ("a:1", "b:2")
    duties = read(GOOD + "[duties]\nwarden = true\ndrill = true\nlooking = true\n", Path("/"))
    assert duties.duties.wished(2) == ("warden@2", "drill")


def test_all_faults_are_told_at_once() -> None:
    found = faults(
        '[instance]\nname = 7\n[store]\nurl = "paper:x"\nprefix = "x"\n[leases]\nttl = 0.1\nspeed = 1\n'
        '[duties]\nrollout = "yes"\n[more]\n'
    )
    text = "\n".join(found)
    for part in (
        "[instance] name",
        "[instance] platform is missing",
        "[store] url",
        "[store] prefix",
        "[leases] speed",
        "[duties] rollout",
        "[more]",
    ):
        assert part in text
    assert len(found) >= 7


@pytest.mark.parametrize(
    ("change", "why"),
    [
        ('url = "etcd://a"', "is no HOST:PORT"),
        ('url = "etcd://a:0"', "is no HOST:PORT"),
        ('url = "sqlite:"', "url"),
        ('url = "etcd://a:1"\n[leases]\nttl = 2.5', "whole seconds"),
        ('url = "sqlite:x"\n[leases]\nttl = 1.0\nmargin = 0.4', "no room for a renewal"),
    ],
)
def test_each_by_itself(change: str, why: str) -> None:
    assert any(why in line for line in faults(GOOD.replace('url = "sqlite:x.db"', change)))


def test_no_toml_and_no_file_are_one_line_and_exit_2(tmp_path: Path) -> None:
    path = tmp_path / "x.toml"
    path.write_text("[instance\n")
    done = subprocess.run(
        [sys.executable, "-m", "coveport", "run", "--config", str(path)],
        capture_output=True,
        text=True,
        check=False,
    )
    assert done.returncode == 2 and done.stderr.count("\n") == 1 and str(path) in done.stderr
    path.write_text(GOOD)
    done = subprocess.run(
        [sys.executable, "-m", "coveport", "run", "--config", str(path)],
        capture_output=True,
        text=True,
        check=False,
    )
    assert done.returncode == 2 and "p.json" in done.stderr and done.stderr.count("\n") == 1


def test_check_tells_what_records_cost_a_store_before_one_turns_them_on(tmp_path: Path) -> None:
    (tmp_path / "p.json").write_text((Path(__file__).parents[3] / "example" / "config.json").read_text())
    path = tmp_path / "x.toml"
    path.write_text(
        '[instance]\nplatform = "p.json"\n[store]\nurl = "sqlite:x.db"\n'
        '[work]\nrecord = ["earn", "redeem"]\nkept_s = 100.0\n'
    )
    done = subprocess.run(
        [sys.executable, "-m", "coveport", "check", str(path), "--rate", "50"],
        capture_output=True,
        text=True,
        check=False,
    )
    assert done.returncode == 0, done.stderr
    assert "100 writes a second" in done.stdout and "5,000 records kept" in done.stdout
