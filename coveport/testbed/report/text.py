"""An outcome in words."""

from __future__ import annotations

from coveport.testbed.outcome import Outcome

EXPECTED = {
    "service": ("service of the whole day", "at least"),
    "worst_10s": ("service in the worst 10 s", "at least"),
    "worst_class": ("service of the worst class", "at least"),
    "recovery_s": ("longest recovery after a fault", "at most"),
    "attempts": ("attempts an operation", "at most"),
    "crossings": ("first attempts that leave their zone", "at most"),
}
"""What the names of expectations mean, and which way they go; those not here are a class's p99."""


def percent(share: float) -> str:
    """A share as people read it; never rounded up to the whole."""
    text = f"{share:.1%}"
    return "99.9%" if text == "100.0%" and share < 1 else text


def millis(figure: float | None) -> str:
    """Milliseconds, in seconds once they are many."""
    if figure is None:
        return "-"
    if figure >= 1000:
        return f"{figure / 1000:.2f} s"
    return f"{figure:.1f} ms" if figure < 10 else f"{figure:.0f} ms"


def expectation(name: str, figure: float | None) -> tuple[str, str, str]:
    """(what is expected, "at least" or "at most", the figure) for an expectation of that name."""
    what, way = EXPECTED.get(name, (f"p99 latency of {name.removeprefix('p99_ms ')}", "at most"))
    if name == "recovery_s":
        shown = "never" if figure is None else f"{figure:.1f} s"
    elif name == "attempts":
        shown = "-" if figure is None else f"{figure:.2f}"
    elif name in EXPECTED:
        shown = "-" if figure is None else percent(figure)
    else:
        shown = millis(figure)
    return what, way, shown


def verdict(outcome: Outcome) -> str:
    """One plain sentence: rules, service, expectations."""
    if outcome.late:
        return (
            "Void: this machine was too busy to play the day on time, so its figures say nothing "
            "about the sidecars."
        )
    if outcome.kept:
        rules = "All rules were kept"
    else:
        names = list(dict.fromkeys(one.rule for one in outcome.broken))
        first = min(outcome.broken, key=lambda one: one.at_ms)
        rules = (
            f"{_many(len(names), 'rule')} {'was' if len(names) == 1 else 'were'} broken "
            f"({', '.join(names)}; {_many(len(outcome.broken), 'breach', 'breaches')}, the first after "
            f"{first.at_ms / 1000:.1f} s)"
        )
    wanted = [one.wanted for one in outcome.expectations if one.name == "service"]
    service = f"{percent(outcome.service)} of the worth asked was answered in time"
    if wanted:
        service += f" where {percent(wanted[0])} was expected"
    missed = [expectation(one.name, one.got)[0] for one in outcome.expectations if not one.met]
    if not outcome.expectations:
        expected = "nothing else was expected"
    elif missed:
        expected = (
            f"{len(missed)} of {_many(len(outcome.expectations), 'expectation')} "
            f"{'was' if len(missed) == 1 else 'were'} missed ({', '.join(missed)})"
        )
    elif len(outcome.expectations) == 1:
        expected = "the one expectation was met"
    else:
        expected = f"all {len(outcome.expectations)} expectations were met"
    return f"{rules}; {service}; {expected}."


def summary_text(outcome: Outcome) -> str:
    """A few lines for a terminal, plain text, no line longer than its longest name asks for."""
    title = (
        outcome.scenario.title
        if not outcome.scenario.name
        else (f"{outcome.scenario.name}: {outcome.scenario.title}")
    )
    lines = [
        f"{title} (seed {outcome.seed}, {outcome.ground}{', ' + outcome.variant if outcome.variant else ''})",
        verdict(outcome),
        "",
        f"  service {percent(outcome.service)}   worst 10 s {percent(outcome.worst_10s)}   "
        f"worst class {percent(outcome.worst_class.service)} {outcome.worst_class.name}   "
        f"mark {outcome.mark:.4f}",
        f"  attempts {outcome.attempts.per_operation:.2f} an operation   waste {percent(outcome.waste)}   "
        f"crossings {percent(outcome.crossings)}   connections {outcome.connections.opened}   "
        f"probes {outcome.probes}",
        "  " + "   ".join(f"{kind} {count}" for kind, count in outcome.answers.all.items() if count),
        "",
    ]
    wide = max([5, *map(len, outcome.latency_ms)])
    lines.append(f"  {'class':<{wide}}  {'asked':>7} {'service':>8} {'p50':>9} {'p99':>9} {'max':>9}")
    for name, latency in outcome.latency_ms.items():
        asked = latency.count + latency.unserved
        share = percent(outcome.answers.by_class[name]["served"] / asked) if asked else "-"
        lines.append(
            f"  {name:<{wide}}  {asked:>7} {share:>8} {millis(latency.p50):>9} "
            f"{millis(latency.p99):>9} {millis(latency.max):>9}"
        )
    if outcome.recovery_s:
        lines += [
            "",
            "  recovery  "
            + "   ".join(
                f"{fault}: {'never' if took is None else f'{took:.1f} s'}"
                for fault, took in outcome.recovery_s.items()
            ),
        ]
    for one in outcome.expectations:
        what, way, wanted = expectation(one.name, one.wanted)
        lines.append(
            f"  {'met   ' if one.met else 'MISSED'}  {what}: {expectation(one.name, one.got)[2]} "
            f"({way} {wanted})"
        )
    lines += [
        f"  BROKEN  {one.rule} after {one.at_ms / 1000:.3f} s: {one.what}" for one in outcome.broken[:10]
    ]
    if len(outcome.broken) > 10:
        lines.append(f"  and {len(outcome.broken) - 10} more")
    lines += [f"  note: {note}" for note in outcome.notes]
    return "\n".join(lines)


def _many(count: int, one: str, more: str = "") -> str:
    return f"{count} {one if count == 1 else more or one + 's'}"
