"""Splitting event streams into events, and resuming them from another node."""

from __future__ import annotations

from itertools import pairwise

from hypothesis import given
from hypothesis import strategies as st

from coveport.serving.proxy.event_stream import EventSequence, EventSplitter, event_id

LINE = st.binary(min_size=1, max_size=6).filter(lambda line: b"\n" not in line and b"\r" not in line)
LINES = st.lists(LINE, max_size=4)
ENDS = st.sampled_from([b"\n", b"\r\n"])


@st.composite
def streams(draw: st.DrawFn) -> tuple[bytes, int]:
    events = []
    for number in range(draw(st.integers(0, 6))):
        end = draw(ENDS)
        lines = [b"id: %d" % number, *draw(LINES)]
        events.append(end.join(lines) + end + draw(ENDS))
    return b"".join(events), len(events)


@given(streams(), st.lists(st.integers(0, 200)), st.binary(max_size=5))
def test_splitter_returns_complete_events_for_any_split_of_the_bytes(
    stream: tuple[bytes, int], cuts: list[int], incomplete_tail: bytes
) -> None:
    data, count = stream
    incomplete_tail = incomplete_tail.replace(b"\n", b"").replace(b"\r", b"")
    boundaries = sorted(
        {
            0,
            len(data) + len(incomplete_tail),
            *(cut for cut in cuts if cut < len(data) + len(incomplete_tail)),
        }
    )
    splitter = EventSplitter()
    events = []
    for begin, end in pairwise(boundaries):
        events += splitter.feed((data + incomplete_tail)[begin:end])
    assert b"".join(events) == data and bytes(splitter.incomplete) == incomplete_tail
    assert len(events) == count
    assert [event_id(event) for event in events] == [str(number) for number in range(count)]


def test_late_carriage_return_belongs_to_its_event() -> None:
    splitter = EventSplitter()
    assert splitter.feed(b"id: 1\r\n\r") == []
    assert splitter.feed(b"\nid: 2\r\n") == [b"id: 1\r\n\r\n"]
    assert bytes(splitter.incomplete) == b"id: 2\r\n"


def test_id_is_found_only_at_the_beginning_of_a_line() -> None:
    assert event_id(b"id: 7\ndata: x\n\n") == "7"
    assert event_id(b"versions: 3\nid:8\ndata: id: 9\n\n") == "8"
    assert event_id(b"data: id: 9\n\n") is None


def event(number: int) -> bytes:
    return b"id: %d\ndata: x\n\n" % number


def sequence_after(*numbers: int, initial_id: str | None = None) -> EventSequence:
    """Return a sequence whose stream has forwarded events with these ids."""
    sequence = EventSequence(initial_id)
    sequence.begin_stream()
    for number in numbers:
        assert sequence.may_follow(event(number))
        sequence.record_forwarded(event(number))
    return sequence


def test_event_whose_id_does_not_rise_may_not_follow() -> None:
    sequence = sequence_after(1, 2, 3)
    assert not sequence.may_follow(event(3)) and not sequence.may_follow(event(2))
    assert sequence.may_follow(event(4)) and sequence.may_follow(b"data: without an id\n\n")


def test_resumed_stream_must_not_skip_events() -> None:
    sequence = sequence_after(5, 10, 15)
    assert sequence.may_follow(event(25))  # within the stream of one node any step is allowed
    sequence.begin_stream()
    assert not sequence.may_follow(event(25))
    assert sequence.may_follow(event(20)) and sequence.may_follow(event(17))  # also smaller steps
    sequence.record_forwarded(event(20))
    assert sequence.last_id == "20" and sequence.may_follow(event(40))


def test_events_that_the_client_has_may_not_follow() -> None:
    sequence = sequence_after(initial_id="12")
    assert not sequence.may_follow(event(12)) and sequence.may_follow(event(13))


def test_non_numeric_ids_are_recorded_and_not_compared() -> None:
    sequence = EventSequence()
    sequence.record_forwarded(b"id: one\n\n")
    assert sequence.last_id == "one" and sequence.may_follow(b"id: a\n\n")
