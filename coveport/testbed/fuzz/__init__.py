"""Fuzzing of everything that reads bytes: targets with their invariants, mutation, comparison with h11.

Nothing is imported here: a guided run instruments the modules under test while it imports them.
"""

HTTP = (
    "coveport.http1.fields",
    "coveport.http1.message_parser",
    "coveport.http1.messages",
    "coveport.http1.request_parser",
    "coveport.http1.response_parser",
    "coveport.http1.writers",
)
UNDER_TEST: dict[str, tuple[str, ...]] = {
    "requests": HTTP,
    "responses": HTTP,
    "operations": (
        *HTTP,
        "coveport.sidecar.downstream.operation_reader",
        "coveport.sidecar.upstream.http1_messages",
    ),
    "loads": ("coveport.sidecar.upstream.http1_messages",),
    "lists": ("coveport.sidecar.discovery.endpoint_reader", "coveport.net.address"),
    "config": (
        "coveport.sidecar.config.platform",
        "coveport.balancing.simulator_settings",
        "coveport.balancing.settings",
        "coveport.net.address",
    ),
    "batches": ("coveport.balancing.simulator_codec",),
    "scenarios": ("coveport.testbed.scenario", "coveport.testbed.scenario_file", "coveport.testbed.tables"),
    "outcomes": ("coveport.testbed.outcome",),
    "requests-h11": (*HTTP, "h11"),
    "responses-h11": (*HTTP, "h11"),
}
"""The modules under test by target: their coverage guides, and a corpus is minimised by it."""
