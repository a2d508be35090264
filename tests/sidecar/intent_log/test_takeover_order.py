"""Order in which instances try to take a record over."""

from __future__ import annotations

from coveport.sidecar.intent_log.takeover_order import rank, takeover_delay_s


def test_ranks_divide_records_evenly_and_one_instance_is_first_for_each() -> None:
    names = [f"s{number}" for number in range(10)]
    first_counts = dict.fromkeys(names, 0)
    for number in range(2000):
        record_id = f"r{number}"
        order = sorted(names, key=lambda name: rank(record_id, name, names))
        assert [rank(record_id, name, names) for name in order] == list(range(10))
        first_counts[order[0]] += 1
        assert takeover_delay_s(record_id, order[0], names) == 0.0
        assert takeover_delay_s(record_id, order[1], names) > 0.0
        # Adding or removing an instance does not change the order of the others.
        without_first = sorted(names[1:], key=lambda name: rank(record_id, name, names[1:]))
        assert without_first == [name for name in order if name != "s0"]
    assert min(first_counts.values()) > 140
    assert max(first_counts.values()) < 260
