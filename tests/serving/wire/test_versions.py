"""Messages of neighbouring versions: missing fields get their defaults, unknown fields are ignored."""

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
class MessageV1:
    number: int
    texts: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class MessageV2:
    number: int
    texts: tuple[str, ...]
    flag: bool = added_in(2, default=False)


@dataclass(frozen=True, slots=True)
class MessageV3:
    number: int
    texts: tuple[str, ...]
    flag: bool = added_in(2, default=False)
    name: str = added_in(3, "nobody")


CODEC_V1: MessageCodec[MessageV1] = MessageCodec((MessageV1,))
CODEC_V2: MessageCodec[MessageV2] = MessageCodec((MessageV2,))
CODEC_V3: MessageCodec[MessageV3] = MessageCodec((MessageV3,))
numbers = st.integers(-(1 << 40), 1 << 40)
texts = st.lists(st.text(st.characters(exclude_categories=["Cs"]))).map(tuple)
names = st.text(st.characters(exclude_categories=["Cs"]))


@given(numbers, texts)
def test_a_newer_reader_uses_the_defaults_of_fields_that_an_older_message_lacks(
    number: int, values: tuple[str, ...]
) -> None:
    encoded = CODEC_V1.encode(MessageV1(number, values))
    assert CODEC_V2.decode(encoded) == MessageV2(number, values, False)
    assert CODEC_V3.decode(encoded) == MessageV3(number, values, False, "nobody")


@given(numbers, texts, st.booleans(), names)
def test_an_older_reader_ignores_unknown_fields(
    number: int, values: tuple[str, ...], flag: bool, name: str
) -> None:
    encoded = CODEC_V3.encode(MessageV3(number, values, flag, name))
    assert CODEC_V1.decode(encoded) == MessageV1(number, values)
    assert CODEC_V2.decode(encoded) == MessageV2(number, values, flag)
    assert CODEC_V3.decode(CODEC_V2.encode(MessageV2(number, values, flag))) == MessageV3(
        number, values, flag, "nobody"
    )


@given(numbers, texts, names.filter(bool))
def test_a_truncated_added_field_is_malformed(number: int, values: tuple[str, ...], name: str) -> None:
    encoded = CODEC_V3.encode(MessageV3(number, values, True, name))
    with pytest.raises(MalformedMessageError):
        CODEC_V3.decode(encoded[:-1])


@dataclass(frozen=True, slots=True)
class Nesting:
    values: tuple[MessageV2, ...]


@dataclass(frozen=True, slots=True)
class OutOfOrder:
    first: int = added_in(2, 0)
    second: int = field(default=0)


@pytest.mark.parametrize("message", [Nesting(()), OutOfOrder()])
def test_an_added_field_that_is_not_at_the_end_of_a_message_raises_a_local_protocol_error(
    message: object,
) -> None:
    codec: MessageCodec[object] = MessageCodec((type(message),))
    with pytest.raises(LocalProtocolError):
        codec.encode(message)


def test_a_message_without_a_version_counts_as_the_unannounced_version() -> None:
    assert Hello("10.0.0.1:7300", "d1").protocol_version == UNANNOUNCED_VERSION < PROTOCOL_VERSION
    defaults = {name: item.default for name, item in UpdateRequest.__dataclass_fields__.items()}
    assert defaults["protocol_version"] == UNANNOUNCED_VERSION


def test_a_peer_that_is_rejected_repeatedly_is_logged_once_a_minute() -> None:
    now_s = [0.0]
    throttle = RejectionThrottle(lambda: now_s[0])
    logged = []
    for tenth in range(int(10 * LOG_INTERVAL_S * 2)):
        now_s[0] = tenth / 10
        if throttle.should_log("10.0.0.1"):
            logged.append(now_s[0])
    assert logged == [0.0, LOG_INTERVAL_S]
    assert throttle.should_log("10.0.0.2"), "the limit applies to each peer separately"
