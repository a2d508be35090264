"""The loop between the simulator's wire and the balancers; each instance has a separate balancer."""

from __future__ import annotations

import sys
import traceback
from typing import BinaryIO

from coveport.balancing import actions, simulator_codec, simulator_settings
from coveport.balancing.balancer import Balancer
from coveport.balancing.errors import WireError


def answer_batch(
    balancers: dict[int, Balancer], decoder: simulator_codec.Decoder, now: float, count: int, body: bytes
) -> list[bytes]:
    """Return the records that answer a batch.

    A failure of the decision code becomes a record of its own; later events are handled as usual.
    """
    records: list[bytes] = []
    selected = -1
    for instance, item in decoder.decode(body, count):
        returned_actions: list[actions.Action] = []
        fault = b""
        try:
            if isinstance(item, simulator_codec.Attach):
                balancers[instance] = Balancer(simulator_settings.parse_settings(item.info), item.seed)
            elif isinstance(item, simulator_codec.Halt):
                balancers.pop(instance, None)
            elif instance in balancers:
                returned_actions = balancers[instance].handle(now, item)
        except Exception:  # noqa: BLE001 - the simulator shows the text of any failure
            fault = simulator_codec.encode_fault(traceback.format_exc())
        if returned_actions or fault:
            if instance != selected:
                records.append(simulator_codec.encode_select(instance))
                selected = instance
            records.extend(map(simulator_codec.encode_action, returned_actions))
            if fault:
                records.append(fault)
    return records


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answer batches until the input ends."""
    balancers: dict[int, Balancer] = {}
    decoder = simulator_codec.Decoder()
    while (batch := simulator_codec.read_batch(source)) is not None:
        now, number, count, body = batch
        sink.write(simulator_codec.encode_reply(number, answer_batch(balancers, decoder, now, count, body)))
        sink.flush()


def main() -> int:
    """Run on standard input and output; return 2 if the input does not follow the protocol."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except (WireError, ValueError) as error:
        print(f"coveport.balancing: malformed input: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
