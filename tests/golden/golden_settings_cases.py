"""Boot settings and configurations of the serving system: texts, and what they are read to."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from coveport.serving.configuration.commands import (
    Command,
    EndEvacuation,
    PatchConfiguration,
    PutConfiguration,
    StartEvacuation,
)
from coveport.serving.configuration.state import AppliedChange, ControlState
from coveport.serving.duties.commands import AcquireDuties, FixUsageReports, RecordFleetOrders
from coveport.serving.duties.kinds import SingletonTaskKind
from coveport.serving.duties.state import FleetOrder, LeaseOwner, SingletonState, UsageReport
from coveport.serving.model.configuration import (
    ClientLimits,
    Configuration,
    Engine,
    Route,
    RouteKind,
    Service,
    WeightedService,
)
from coveport.serving.model.telemetry import TenantCount
from coveport.serving.settings.boot import (
    BootSettings,
    Bounds,
    FaultTolerance,
    PlatformSettings,
    ProcessLimits,
)

ZONES = {"hall": "south", "mill": "north"}
COORDINATOR_TEXT = """\
NodeName = "counter-hall-1"
Serves = ["dispatch", "registry"]
Ip = "10.1.0.10"
Zone = "hall"
Region = "south"
InnerPortRange = [7300, 7315]
SeedAddrs = ["10.1.0.13:8262", "10.2.0.16:8262"]
FirstBoot = true
LossCounted = false
BeatMs = 1200
DataDir = "/data/x"
[Zones]
hall = "south"
mill = "north"
[Listen]
Control = "10.1.0.10:8263"
Directory = "10.1.0.10:8268"
[Limits]
MemoryMb = 300.5
MaxFds = 4100
LinkMbps = 900.0
DiskMb = 64.0
[Tolerate]
MachineLosses = 1
Zones = 2
RegionLosses = 3
[Bounds]
SeedLagS = 1.5
AddrReuseS = 2.5
InTouchMs = 3.5
AckMs = 4.5
CatchUpS = 5.5
DrainMs = 6.5
GraceS = 7.5
LossSlackMs = 8.5
ConfigApplyMs = 9.5
RevertSlackMs = 10.5
StretchMs = 11.5
RetryRatio = 12.5
RetryWindowS = 13.5
RetrySlack = 14.5
ColdOvershoot = 15.5
ColdSlack = 16.5
EvacuateMs = 17.5
RecoverS = 18.5
pass_ms = 19.5
ttl_max_s = 20.5
Fenced = true
LeaseMs = 21.5
ThawSlackMs = 22.5
UsageWindowS = 23.5
UsageError = 24.5
UsageDelayS = 25.5
RevokedClosed = true
RevokeMs = 26.5
[CarrierApi]
Address = "10.200.0.1:8346"
Duties = ["metering", "fleet_size"]
DutyRateS = 27.5
"""
FIRST_BOUNDS: tuple[Any, ...] = tuple(number + 0.5 for number in range(1, 21))
COORDINATOR = BootSettings(
    name="counter-hall-1",
    ip="10.1.0.10",
    zone="hall",
    region="south",
    inner_ports=(7300, 7315),
    seeds=(("10.1.0.13", 8262), ("10.2.0.16", 8262)),
    first_boot=True,
    loss_counted=False,
    data_dir="/data/x",
    serves=("dispatch", "registry"),
    heartbeat_ms=1200,
    regions=ZONES,
    control=("10.1.0.10", 8263),
    lookups=("10.1.0.10", 8268),
    limits=ProcessLimits(300.5, 4100, 900.0, 64.0),
    tolerated=FaultTolerance(1, 2, 3),
    bounds=replace(
        Bounds(*FIRST_BOUNDS),
        is_fenced=True,
        lease_ms=21.5,
        thaw_slack_ms=22.5,
        usage_window_s=23.5,
        usage_error=24.5,
        usage_delay_s=25.5,
        revoked_closed=True,
        revoke_ms=26.5,
    ),
    platform=PlatformSettings(("10.200.0.1", 8346), frozenset(SingletonTaskKind), 27.5),
)
PROXY_TEXT = """\
NodeName = "counter-mill-1"
Role = "proxy"  # nothing is made of it, nor of any other name that is not known
Serves = ["counter"]
Ip = "10.2.0.10"
Zone = "mill"
Region = "north"
InnerPortRange = [7300, 7300]
SeedAddrs = []
FirstBoot = false
LossCounted = true
BeatMs = 400.5
[Zones]
hall = "south"
mill = "north"
[Listen]
FrontHttp = "10.2.0.10:80"
Readiness = "10.2.0.10:81"
[Bounds]
DrainMs = 9
unknown_to_us = true
"""
PROXY = BootSettings(
    name="counter-mill-1",
    ip="10.2.0.10",
    zone="mill",
    region="north",
    inner_ports=(7300, 7300),
    seeds=(),
    first_boot=False,
    loss_counted=True,
    data_dir=None,
    serves=("counter",),
    heartbeat_ms=400.5,
    regions=ZONES,
    clients=("10.2.0.10", 80),
    readiness=("10.2.0.10", 81),
    bounds=Bounds(drain_ms=9.0),
)
# All that a settings file may leave out.
DEFAULT_LIMITS = (0.0, 1024, 1000.0, 0.0)
DEFAULT_TOLERATED = (0, 0, 0)
DEFAULT_BOUNDS = (
    *(3.0, 2.0, 4000.0, 5000.0, 4.0, 2500.0, 8.0, 200.0, 2500.0, 250.0),
    *(6000.0, 0.2, 10.0, 0.0, 1.0, 0.0, 5000.0, 12.0, 250.0, 5.0),
    *(False, 3000.0, 300.0, 5.0, 0.05, 10.0, False, 5000.0),
)

# As an operator sends it: with spaces, fields that are not known, numbers of both kinds.
CONFIGURATION_SENT = """\
{ "Edition": 7, "Note": {"kept": [1, 2.5, null]},
  "Routes": [
    {"Name": "plain", "Host": "shop.example", "PathPrefix": "/plain/", "Kind": "streaming",
     "DeadlineMs": 5000, "TargetMs": 800.5, "Precedence": 2, "Service": "model", "Tries": 2.0, "Pinned": true,
     "Resumable": true, "gap_aim_ms": 400, "HomeRegions": ["south", "north"], "Remark": "gr\\u00f6\\u00dfe"},
    {"Name": "shared", "Host": "shop.example", "PathPrefix": "/shared/", "Kind": "safe", "DeadlineMs": 1e3,
     "Shares": [{"Service": "model", "Share": 90}, {"Service": "bare", "Share": 10.5}]},
    {"Name": "least", "Host": "shop.example", "PathPrefix": "/", "Kind": "unsafe", "DeadlineMs": 1,
     "Service": "bare"}
  ],
  "Services": [
    {"Name": "model", "HealthPath": "/health/model", "MaxConns": 360, "Protocol": "h1", "WarmupS": 3.5,
     "ColdRateS": 9.8, "Engine": {"Berths": 64, "KvCapacity": 227616, "stride": 5,
     "Models": [{"Name": "m"}]}},
    {"Name": "bare"}
  ],
  "Limits": {"MaxHeaderBytes": 1000, "MaxBodyBytes": 2000, "HeaderReadMs": 3000.5, "IdleMs": 4000}
}
"""
CONFIGURATION_WRITTEN = (
    '{"Edition":7,"Note":{"kept":[1,2.5,null]},"Routes":['
    '{"Name":"plain","Host":"shop.example","PathPrefix":"/plain/","Kind":"streaming","DeadlineMs":5000,'
    '"TargetMs":800.5,"Precedence":2,"Service":"model","Tries":2.0,"Pinned":true,"Resumable":true,'
    '"gap_aim_ms":400,"HomeRegions":["south","north"],"Remark":"größe"},'
    '{"Name":"shared","Host":"shop.example","PathPrefix":"/shared/","Kind":"safe","DeadlineMs":1000.0,'
    '"Shares":[{"Service":"model","Share":90},{"Service":"bare","Share":10.5}]},'
    '{"Name":"least","Host":"shop.example","PathPrefix":"/","Kind":"unsafe","DeadlineMs":1,"Service":"bare"}],'
    '"Services":[{"Name":"model","HealthPath":"/health/model","MaxConns":360,"Protocol":"h1","WarmupS":3.5,'
    '"ColdRateS":9.8,"Engine":{"Berths":64,"KvCapacity":227616,"stride":5,"Models":[{"Name":"m"}]}},'
    '{"Name":"bare"}],'
    '"Limits":{"MaxHeaderBytes":1000,"MaxBodyBytes":2000,"HeaderReadMs":3000.5,"IdleMs":4000}}'
)
PLAIN_ROUTE = Route(
    name="plain",
    host="shop.example",
    path_prefix="/plain/",
    kind=RouteKind.STREAMING,
    timeout_ms=5000,
    latency_target_ms=800.5,
    priority=2,
    services=(WeightedService("model", 1.0),),
    max_attempts=2,
    session_affinity=True,
    resumable=True,
    inter_token_target_ms=400,
    home_regions=frozenset({"south", "north"}),
)
SHARED_ROUTE = Route(
    name="shared",
    host="shop.example",
    path_prefix="/shared/",
    kind=RouteKind.SAFE,
    timeout_ms=1000.0,
    services=(WeightedService("model", 90), WeightedService("bare", 10.5)),
)
LEAST_ROUTE = Route(
    "least", "shop.example", "/", RouteKind.UNSAFE, 1, services=(WeightedService("bare", 1.0),)
)
CONFIGURATION = Configuration(
    edition=7,
    routes=(PLAIN_ROUTE, SHARED_ROUTE, LEAST_ROUTE),
    services=(
        Service("model", "/health/model", 360, 3.5, 9.8, Engine(64, 227616, 5)),
        Service("bare", "/health", 0, 0.0, 0.0, None),
    ),
    limits=ClientLimits(1000, 2000, 3000.5, 4000),
)
# A change that alters one route and takes another away.
PATCH_SENT = (
    '{"Edition": 8, "Upsert": {"Routes": [{"Name": "shared", "Host": "shop.example", "PathPrefix": "/s/",'
    ' "Kind": "safe", "DeadlineMs": 3, "Service": "model"}]}, "Remove": {"Routes": ["plain"]}}'
)

COMMANDS: dict[str, Command] = {
    "put": PutConfiguration(0, CONFIGURATION_SENT.encode()),
    "patch": PatchConfiguration(7, PATCH_SENT.encode()),
    "put without an edition": PutConfiguration(None, b"{}"),
    "patch without an edition": PatchConfiguration(None, b"{}"),
    "start an evacuation": StartEvacuation("hall"),
    "end an evacuation": EndEvacuation("mill"),
    "acquire the duties": AcquireDuties(LeaseOwner("counter-hall-1", "7f3a91c2"), 11),
    "fix no usage reports": FixUsageReports(12, (), ()),
    "fix usage reports": FixUsageReports(
        12,
        (
            UsageReport(353_445_120, (TenantCount("nowu640", 412), TenantCount("größe", 0))),
            UsageReport(353_445_121, ()),
        ),
        (353_445_118, 353_445_119),
    ),
    "record fleet orders": RecordFleetOrders(
        12, (FleetOrder("model", "hall", 6), FleetOrder("model", "mill", 300))
    ),
}
STATES: dict[str, ControlState] = {
    "initial": ControlState(),
    "with everything": ControlState(
        CONFIGURATION_WRITTEN.encode(),
        7,
        frozenset({"mill", "hall"}),
        (AppliedChange(6, bytes(range(16))), AppliedChange(7, b"\xff" * 16)),
    ),
    "with a holder of the duties": ControlState(
        singleton_state=SingletonState(LeaseOwner("counter-hall-1", "7f3a91c2"), 12)
    ),
    "with everything and duties": ControlState(
        CONFIGURATION_WRITTEN.encode(),
        7,
        frozenset({"mill"}),
        (AppliedChange(7, b"\xff" * 16),),
        SingletonState(
            LeaseOwner("counter-hall-1", "7f3a91c2"),
            12,
            353_445_121,
            (
                UsageReport(353_445_120, (TenantCount("größe", 0), TenantCount("nowu640", 412))),
                UsageReport(353_445_121, ()),
            ),
            (FleetOrder("model", "hall", 6), FleetOrder("model", "mill", 300)),
        ),
    ),
}
