"""Each mistake in a scenario is told in one line that names the file, the key and what would be right."""

import re
from pathlib import Path

import pytest

from coveport.testbed import catalog
from coveport.testbed.faults import Crash
from coveport.testbed.scenario_checks import portions
from coveport.testbed.scenario_file import ScenarioError, load, parse

FAULT = 'title = "t"\n[[faults]]\nat_s = 3\n'
CLASS = 'title = "t"\n[[classes]]\nname = "a"\nshare = 1\nwork_ms = 9\nrepeats = "keyed"\naim_ms = 50\n'

MISTAKES = [  # what the file says, the key, and something of what would be right
    ("title = ", "line 1, column 9", "invalid value"),
    ('title = "t"\ntitle = "u"\n', "line 2, column 12", "cannot overwrite"),
    ('title = "t"\nx = ' + "[" * 9999, "file", "nested too deep"),
    ("", "title", "is missing; a text of one line"),
    ('title = " "', "title", '" " will not do; a text of one line'),
    ("title = 3", "title", "3 will not do; a text"),
    ('title = "t"\nlenght_s = 3', "lenght_s", "no such key; did you mean length_s"),
    ('title = "t"\n"a\\nb" = 3', r'"a\nb"', "no such key; one of title, about"),
    ('title = "t"\nfleet.nodez = 3', "fleet.nodez", "did you mean nodes"),
    ('title = "t"\nfleet = 3', "fleet", "3 will not do; a table"),
    ('title = "t"\nlength_s = 0', "length_s", "out of bounds; a number above 0"),
    ('title = "t"\nlength_s = 1e400', "length_s", "out of bounds"),
    ('title = "t"\nsettle_s = 20', "settle_s", "less than its 20 s"),
    ('title = "t"\nfleet.nodes = 0', "fleet.nodes", "a whole number from 1 to 5000"),
    ('title = "t"\nfleet.nodes = 2.5', "fleet.nodes", "2.5 will not do; a whole number"),
    ('title = "t"\nfleet.nodes = true', "fleet.nodes", "true will not do; a whole number"),
    ('title = "t"\nfleet.zones = []', "fleet.zones", "is empty; at least one"),
    ('title = "t"\nfleet.zones = "a"', "fleet.zones", '"a" will not do; a list'),
    ('title = "t"\nfleet.zones = ["a", "b", "a"]', "fleet.zones[2]", '"a" is there already'),
    ('title = "t"\nfleet.zones = ["a", ""]', "fleet.zones[1]", "up to 40 letters"),
    ('title = "t"\nfleet.idle_s = [5, 2]', "fleet.idle_s", "[5, 2] falls; [low, high] such as [2, 5]"),
    ('title = "t"\nfleet.idle_s = [1, 2, 3]', "fleet.idle_s", "a number above 0, or a range [low, high]"),
    ('title = "t"\nfleet.idle_s = [0, 2]', "fleet.idle_s", "out of bounds; a number above 0"),
    ('title = "t"\nfleet.jam.slower = 0.5', "fleet.jam.slower", "a number of at least 1"),
    ('title = "t"\n[[fleet.kinds]]\nname = "a"\nshare = 0', "fleet.kinds[0].share", "at least one above"),
    ('title = "t"\n[[fleet.kinds]]\ncores = 1', "fleet.kinds[0].name", "is missing"),
    (
        'title = "t"\n[[fleet.kinds]]\nname = "a"\n[[fleet.kinds]]\nname = "a"',
        "fleet.kinds[1].name",
        "is there already",
    ),
    (
        'title = "t"\n[[fleet.kinds]]\nname = "a"\ncancel = "al"',
        "fleet.kinds[0].cancel",
        '"al" will not do; one of all, none',
    ),
    (CLASS, "classes[0].deadline_ms", "is missing; a number above 0"),
    (CLASS + "deadline_ms = 49", "classes[0].deadline_ms", "at least aim_ms = 50"),
    (CLASS + "deadline_ms = 50\nwindow_ms = 0", "classes[0].window_ms", "a number above 0"),
    (CLASS.replace('"a"', '"ping"') + "deadline_ms = 50", "classes[0].name", "small letter"),
    (CLASS.replace('"a"', '"a/b"') + "deadline_ms = 50", "classes[0].name", "small letter"),
    (CLASS.replace("share = 1", "share = 0") + "deadline_ms = 50", "classes[0].share", "at least one above"),
    (CLASS + "deadline_ms = 50\nbody = 40000000", "classes[0].body", "from 1 to 33554432"),
    ('title = "t"\nload.rate = -1', "load.rate", "-1 is out of bounds; a number of at least 0"),
    ('title = "t"\nload.level = nan', "load.level", "NaN is out of bounds"),
    ('title = "t"\nload.rate = inf', "load.rate", "Infinity is out of bounds"),
    ('title = "t"\nload.impatient = 1.5', "load.impatient", "a number from 0 to 1"),
    ('title = "t"\nload.retries.try_share = 0', "load.retries.try_share", "above 0, at most 1"),
    ('title = "t"\nload.shape = "curve"', "load.curve", "is empty"),
    ('title = "t"\nload.curve = [[0, 1]]', "load.curve", 'beside shape = "steady"'),
    ('title = "t"\nload.shape = "curve"\nload.curve = [[5, 1], [5, 2]]', "load.curve[1]", "rising order"),
    ('title = "t"\nload.shape = "curve"\nload.curve = [[5, 0]]', "load.curve", "asks nothing"),
    ('title = "t"\nload.shape = "curve"\nload.curve = [[5]]', "load.curve[0]", "a pair of numbers"),
    ('title = "t"\nnetwork.loss = 1', "network.loss", "from 0 to 0.9"),
    ('title = "t"\nnetwork.window = [100, 9000]', "network.window", "a number from 512 to 16777216"),
    (FAULT + 'kind = "starve"\nsize = 0', "faults[0].size", "above 0, at most 1"),
    (FAULT + 'kind = "clock"\nwhom.numbers = [6]', "faults[0].whom.numbers[0]", "no sidecar 6"),
    ('title = "t"\nrules.cold_from = 1.2', "rules.cold_from", "above 0, at most 1"),
    ('title = "t"\nrules.most_tries = 0', "rules.most_tries", "from 1"),
    ('title = "t"\nrules.connect_timeout_ms = 0', "rules.connect_timeout_ms", "above 0"),
    ('title = "t"\nlimits.descriptors = 2', "limits.descriptors", "from 16"),
    ('title = "t"\nfaults = [3]', "faults[0]", "3 will not do; a table"),
    (FAULT, "faults[0].kind", "is missing; one of crash, slow"),
    (FAULT + 'kind = "crush"', "faults[0].kind", 'no kind "crush"; one of crash, slow'),
    (FAULT.replace("3", "20") + 'kind = "slow"', "faults[0].at_s", "below length_s = 20"),
    (FAULT.replace("3", "[3, 21]") + 'kind = "slow"', "faults[0].at_s", "21 is not within the day"),
    (FAULT + 'kind = "slow"\nsize = 0', "faults[0].size", "above 0"),
    (
        FAULT + 'kind = "crash"\nwhom.zone = "bilbau"',
        "faults[0].whom.zone",
        'no zone "bilbau"; one of bilbao, oviedo, pamplona',
    ),
    (FAULT + 'kind = "crash"\nwhom.kind = "fast"', "faults[0].whom.kind", "one of full-core, slow-core"),
    (FAULT + 'kind = "crash"\nwhom = {}', "faults[0].whom", "names nobody"),
    (FAULT + 'kind = "crash"\nwhom = { count = 1, all = true }', "faults[0].whom.all", "stands beside count"),
    (
        FAULT + 'kind = "crash"\nwhom.numbers = [1, 10]',
        "faults[0].whom.numbers[1]",
        "no node 10; from 0 to 9",
    ),
    (FAULT + 'kind = "crash"\nwhom.numbers = [1, 1]', "faults[0].whom.numbers[1]", "each once"),
    (FAULT + 'kind = "crash"\nwhom = { numbers = [1], zone = "oviedo" }', "faults[0].whom.numbers", "alone"),
    (FAULT + 'kind = "crash"\nwhom = { count = 4, zone = "oviedo" }', "faults[0].whom.count", "at most 3"),
    (FAULT + 'kind = "crash"\nwhom = { count = 5, kind = "slow-core" }', "faults[0].whom.count", "at most 4"),
    (FAULT + 'kind = "kill"\nwhom.numbers = [6]', "faults[0].whom.numbers[0]", "no sidecar 6"),
    (FAULT + 'kind = "kill"\nwhom.kind = "full-core"', "faults[0].whom.kind", "leave it out"),
    (FAULT + 'kind = "crash"\nreplaced = true', "faults[0].for_s", "a number above 0"),
    (FAULT + 'kind = "drain"\nfor_s = 2', "faults[0].for_s", "above gone_s = 3"),
    (FAULT + 'kind = "stall"', "faults[0].for_s", "a number above 0"),
    (FAULT + 'kind = "rolling"\nfor_s = 5', "faults[0].for_s", "leave it out"),
    (FAULT + 'kind = "discovery"\nhow = "moves"\nfor_s = 5', "faults[0].for_s", "leave it out"),
    (FAULT + 'kind = "heavy_tail"\ncls = "earnings"', "faults[0].cls", "one of earn, balance, redeem"),
    (FAULT + 'kind = "cut"\n[fleet]\nzones = ["a"]', "faults[0].zone", "two zones"),
    (FAULT + 'kind = "loss"\nsize = 0.5\n[network]\nloss = 0.5', "faults[0].size", "at most 0.9"),
    ('title = "t"\nexpect.service = 2', "expect.service", "from 0 to 1"),
    ('title = "t"\nexpect.p99_ms.earm = 9', "expect.p99_ms.earm", 'no class "earm"; one of earn'),
    ('title = "t"\nexpect.p99_ms.earn = "9"', "expect.p99_ms.earn", '"9" will not do; a number'),
    # Several: the first in the file, and nothing that only comes of another mistake.
    (FAULT + 'kind = "slow"\n[load]\nrate = -1\n[[faults]]\nkind = "slow"\nat_s = -1', "load.rate", "-1"),
    (FAULT + 'kind = "slow"\nsize = 0\n[load]\nrate = -1', "faults[0].size", "0"),
    (FAULT + 'kind = "crash"\nwhom.zone = "a"\n[fleet]\nzones = ["a", 3]', "fleet.zones[1]", "3 will not do"),
    ('title = "t"\nsettle_s = 30\nload.rate = -1', "settle_s", "less than its 20 s"),
]


@pytest.mark.parametrize(("text", "key", "right"), MISTAKES)
def test_a_mistake_is_told_in_one_line(text: str, key: str, right: str) -> None:
    with pytest.raises(ScenarioError) as caught:
        parse(text, "day.toml")
    told = str(caught.value)
    assert told.startswith(f"day.toml: {key}: ") and right in told and "\n" not in told
    assert "; " in told


@pytest.mark.parametrize(
    ("given", "told"),
    [
        ("fleet.nodes", "set fleet.nodes: not KEY=VALUE"),
        ("fleet..nodes=3", "set fleet..nodes=3: not KEY=VALUE"),
        ("fleet.nodez=3", "fleet.nodez (set fleet.nodez=3): no such key; did you mean nodes"),
        ("fleet.nodes=few", 'fleet.nodes (set fleet.nodes=few): "few" will not do'),
        ("faults.2.at_s=3", "set faults.2.at_s=3: faults has no 2; a position from 0 to 1"),
        ("title.a=3", "set title.a=3: title is no table"),
        (
            "faults[0].whom.zone=bilbau",
            'faults[0].whom.zone (set faults[0].whom.zone=bilbau): no zone "bilbau"',
        ),
        ("faults.0.at_s=1\nsize=2", 'faults[0].at_s (set faults.0.at_s=1 size=2): "1\\nsize=2" will not do'),
    ],
)
def test_a_mistake_in_a_set_names_the_set(given: str, told: str) -> None:
    with pytest.raises(ScenarioError) as caught:
        parse(FAULT + 'kind = "crash"', "day.toml", [given])
    assert str(caught.value).startswith(f"day.toml: {told}") and "\n" not in str(caught.value)


def test_sets_are_laid_over_the_file_in_their_order() -> None:
    day = parse(
        FAULT + 'kind = "crash"\nfor_s = 2',
        "day.toml",
        [
            "load.level=[0.1, 0.2]",
            "title=two words",
            "length_s=9",
            "length_s=30",
            "faults[0].for_s=4",
            "faults.0.whom.zone=oviedo",
            "faults.0.whom.share=0.5",
            "faults.1.kind=slow",
            "faults.1.at_s=25",
            "classes.1.worth=9",
            "rules.probes=false",
        ],
    )
    assert (day.load.level, day.title, day.length_s, day.rules.probes) == ((0.1, 0.2), "two words", 30, False)
    crash, slow = day.faults
    assert isinstance(crash, Crash) and crash.for_s == 4 and crash.whom.share == 0.5
    assert crash.whom.zone == "oviedo" and slow.at_s == 25
    assert [one.worth for one in day.classes] == [1, 9, 3]  # the others as they are by default


def test_sets_are_told_last_and_in_their_order() -> None:
    for text, told in (("load.rate = -1", "load.rate:"), ("", "title (set title=3):")):
        with pytest.raises(ScenarioError, match=rf"day\.toml: {re.escape(told)}"):
            parse(f'title = "t"\n{text}', "day.toml", ["title=3", "settle_s=-1", "length_s=-1"])


def test_files_that_cannot_be_read(tmp_path: Path) -> None:
    with pytest.raises(ScenarioError, match=r"no\.toml: file: can't be read, no such file"):
        load(tmp_path / "no.toml")
    (tmp_path / "bad.toml").write_bytes(b'title = "\xff"')
    with pytest.raises(ScenarioError, match=r"bad\.toml: byte 9: not UTF-8"):
        load(tmp_path / "bad.toml")


def test_names_and_paths_are_found(tmp_path: Path) -> None:
    titles = dict(catalog.names())
    assert len(titles) >= 15 and all(titles.values())
    assert load(catalog.find("slow+burst")).title == titles["slow+burst"]
    (tmp_path / "mine.toml").write_text('title = "mine"')
    assert catalog.find(str(tmp_path / "mine.toml")) == tmp_path / "mine.toml"
    with pytest.raises(ScenarioError, match=r"^crsh: file: .*; one of crash, [^\n]*zone-cut"):
        catalog.find("crsh")


def test_portions_add_up_and_stay_near_their_share() -> None:
    assert portions([0.63, 0.37], 10) == [6, 4]
    assert portions([1, 1, 1], 2) == [1, 1, 0]
    assert portions([0, 5], 3) == [0, 3]
