"""The loop between the bench's wire and the decisions: one Balancer for each instance, none shared."""

from __future__ import annotations

import sys
import traceback
from typing import BinaryIO

from coveport.balancing import actions, simulator_codec
from coveport.balancing.balancer import Balancer


def answer(
    balancers: dict[int, Balancer], decoder: simulator_codec.Decoder, now: float, count: int, body: bytes
) -> list[bytes]:
    """The records that answer one batch."""
    records: list[bytes] = []
    selected = -1
    for instance, item in decoder.decode(body, count):
        answers: list[actions.Action] = []
        fault = b""
        try:
            if isinstance(item, simulator_codec.Attach):
                balancers[instance] = Balancer(simulator_codec.parse_settings(item.info), item.seed)
            elif isinstance(item, simulator_codec.Halt):
                balancers.pop(instance, None)
            elif instance in balancers:
                answers = balancers[instance].handle(now, item)
        except Exception:  # whatever failed in there, its text is what the operators need
            fault = simulator_codec.encode_fault(traceback.format_exc())
        if answers or fault:
            if instance != selected:
                records.append(simulator_codec.encode_at(instance))
                selected = instance
            records.extend(map(simulator_codec.encode_action, answers))
            if fault:
                records.append(fault)
    return records


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answer batches until the input ends."""
    balancers: dict[int, Balancer] = {}
    decoder = simulator_codec.Decoder()
    while (batch := simulator_codec.read_batch(source)) is not None:
        now, number, count, body = batch
        sink.write(simulator_codec.encode_reply(number, answer(balancers, decoder, now, count, body)))
        sink.flush()


def main() -> int:
    """Run on standard input and output; 2 when the input is not this protocol."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except (simulator_codec.WireError, ValueError) as problem:
        print(f"coveport.balancing: malformed input: {problem}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
