"""Messages of neighbouring versions: what one lacks, the other takes or ignores."""

from __future__ import annotations

from dataclasses import dataclass, field

import pytest
from hypothesis import given
from hypothesis import strategies as st

from coveport.serving.wire.codec import MessageCodec
from coveport.serving.wire.errors import LocalProtocolError, MalformedMessageError
from coveport.serving.wire.messages import Hello, UpdateRequest
from coveport.serving.wire.rejection_throttle import LOG_INTERVAL_S, RejectionThrottle
from coveport.serving.wire.versions import PROTOCOL_VERSION, UNANNOUNCED_VERSION, added_in


@dataclass(frozen=True, slots=True)
class Before:
    number: int
    texts: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Between:
    number: int
    texts: tuple[str, ...]
    flag: bool = added_in(2, default=False)


@dataclass(frozen=True, slots=True)
class After:
    number: int
    texts: tuple[str, ...]
    flag: bool = added_in(2, default=False)
    name: str = added_in(3, "nobody")


BEFORE: MessageCodec[Before] = MessageCodec((Before,))
BETWEEN: MessageCodec[Between] = MessageCodec((Between,))
AFTER: MessageCodec[After] = MessageCodec((After,))
numbers = st.integers(-(1 << 40), 1 << 40)
texts = st.lists(st.text(st.characters(exclude_categories=["Cs"]))).map(tuple)
names = st.text(st.characters(exclude_categories=["Cs"]))


@given(numbers, texts)
def test_a_newer_reader_takes_the_defaults_of_what_an_older_message_lacks(
    number: int, many: tuple[str, ...]
) -> None:
    encoded = BEFORE.encode(Before(number, many))
    assert BETWEEN.decode(encoded) == Between(number, many, False)
    assert AFTER.decode(encoded) == After(number, many, False, "nobody")


@given(numbers, texts, st.booleans(), names)
def test_an_older_reader_ignores_what_it_does_not_know(
    number: int, many: tuple[str, ...], flag: bool, name: str
) -> None:
    encoded = AFTER.encode(After(number, many, flag, name))
    assert BEFORE.decode(encoded) == Before(number, many)
    assert BETWEEN.decode(encoded) == Between(number, many, flag)
    assert AFTER.decode(BETWEEN.encode(Between(number, many, flag))) == After(number, many, flag, "nobody")


@given(numbers, texts, names.filter(bool))
def test_an_added_field_that_is_cut_is_malformed(number: int, many: tuple[str, ...], name: str) -> None:
    encoded = AFTER.encode(After(number, many, True, name))
    with pytest.raises(MalformedMessageError):
        AFTER.decode(encoded[:-1])


@dataclass(frozen=True, slots=True)
class Nesting:
    many: tuple[Between, ...]


@dataclass(frozen=True, slots=True)
class OutOfOrder:
    first: int = added_in(2, 0)
    second: int = field(default=0)


@pytest.mark.parametrize("message", [Nesting(()), OutOfOrder()])
def test_an_added_field_anywhere_but_at_the_end_of_a_whole_message_is_an_error_of_ours(
    message: object,
) -> None:
    codec: MessageCodec[object] = MessageCodec((type(message),))
    with pytest.raises(LocalProtocolError):
        codec.encode(message)


def test_a_process_of_before_counts_as_the_version_that_announced_nothing() -> None:
    assert Hello("10.0.0.1:7300", "d1").protocol_version == UNANNOUNCED_VERSION < PROTOCOL_VERSION
    defaults = {name: item.default for name, item in UpdateRequest.__dataclass_fields__.items()}
    assert defaults["protocol_version"] == UNANNOUNCED_VERSION


def test_a_peer_that_is_rejected_again_and_again_is_logged_once_a_minute() -> None:
    now_s = [0.0]
    throttle = RejectionThrottle(lambda: now_s[0])
    logged = []
    for tenth in range(int(10 * LOG_INTERVAL_S * 2)):
        now_s[0] = tenth / 10
        if throttle.should_log("10.0.0.1"):
            logged.append(now_s[0])
    assert logged == [0.0, LOG_INTERVAL_S]
    assert throttle.should_log("10.0.0.2"), "another peer has its own line"
