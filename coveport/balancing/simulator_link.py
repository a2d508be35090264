"""The loop between the simulator's wire and the decisions: one Balancer for each instance, none shared."""

from __future__ import annotations

import sys
import traceback
from typing import BinaryIO

from coveport.balancing import actions, simulator_codec, simulator_settings
from coveport.balancing.balancer import Balancer
from coveport.balancing.errors import WireError


def answer(
    balancers: dict[int, Balancer], decoder: simulator_codec.Decoder, now: float, count: int, body: bytes
) -> list[bytes]:
    """Return the records that answer one batch.

    A failure of the decision code becomes a record of its own, and the next events are handled as ever.
    """
    records: list[bytes] = []
    selected = -1
    for instance, item in decoder.decode(body, count):
        answers: list[actions.Action] = []
        fault = b""
        try:
            if isinstance(item, simulator_codec.Attach):
                balancers[instance] = Balancer(simulator_settings.parse_settings(item.info), item.seed)
            elif isinstance(item, simulator_codec.Halt):
                balancers.pop(instance, None)
            elif instance in balancers:
                answers = balancers[instance].handle(now, item)
        except Exception:  # noqa: BLE001 - whatever failed in there, the simulator shows its text
            fault = simulator_codec.encode_fault(traceback.format_exc())
        if answers or fault:
            if instance != selected:
                records.append(simulator_codec.encode_select(instance))
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
    except (WireError, ValueError) as problem:
        print(f"coveport.balancing: malformed input: {problem}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
