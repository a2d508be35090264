"""The loop between the bench's wire and the decisions: one Balancer for each instance, none shared."""

from __future__ import annotations

import sys
import traceback
from typing import BinaryIO

from micaflow import interface as api
from micaflow import wire
from micaflow.decide import Balancer


def answer(
    balancers: dict[int, Balancer], decoder: wire.Decoder, now: float, count: int, body: bytes
) -> list[bytes]:
    """The records that answer one batch."""
    records: list[bytes] = []
    selected = -1
    for instance, item in decoder.decode(body, count):
        actions: list[api.Action] = []
        fault = b""
        try:
            if isinstance(item, wire.Attach):
                balancers[instance] = Balancer(wire.parse_settings(item.info), item.seed)
            elif isinstance(item, wire.Halt):
                balancers.pop(instance, None)
            elif instance in balancers:
                actions = balancers[instance].handle(now, item)
        except Exception:  # whatever failed in there, its text is what the operators need
            fault = wire.encode_fault(traceback.format_exc())
        if actions or fault:
            if instance != selected:
                records.append(wire.encode_at(instance))
                selected = instance
            records.extend(map(wire.encode_action, actions))
            if fault:
                records.append(fault)
    return records


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answer batches until the input ends."""
    balancers: dict[int, Balancer] = {}
    decoder = wire.Decoder()
    while (batch := wire.read_batch(source)) is not None:
        now, number, count, body = batch
        sink.write(wire.encode_reply(number, answer(balancers, decoder, now, count, body)))
        sink.flush()


def main() -> int:
    """Run on standard input and output; 2 when the input is not this protocol."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except (wire.WireError, ValueError) as problem:
        print(f"micaflow: malformed input: {problem}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
