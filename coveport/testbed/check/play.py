"""The real reducer with the real module in a small world: one move after the other, each judged. Pure."""

from __future__ import annotations

import traceback
from collections import deque
from typing import Any

from coveport import balancing
from coveport.balancing import Balancer
from coveport.sidecar.reducer import messages as core
from coveport.sidecar.reducer.reducer import Reducer
from coveport.testbed.check import rules
from coveport.testbed.check.rules import Breach
from coveport.testbed.check.surroundings import Surroundings
from coveport.testbed.check.world import Move, World


class Play:
    """A state: the surroundings, the reducer, and in it the module with its chance."""

    __slots__ = ("around", "balancer", "chance", "reducer")

    def __init__(self, world: World, reducer: type[Reducer], balancer: type[Balancer], chance: Any) -> None:
        made: list[Balancer] = []

        def make(settings: balancing.Settings, seed: int) -> Balancer:
            made.append(balancer(settings, seed))
            made[0].random = chance
            return made[0]

        self.around = Surroundings(world)
        self.chance = chance
        self.reducer = reducer(world.settings, 0, make)
        self.balancer = made[0]

    def begin(self) -> list[Breach]:
        """Tell the list that is known at the start."""
        return self._feed(self.around.told(self.around.world.list_known()))

    def move(self, at: float, move: Move) -> list[Breach]:
        """Let a move happen at its time; what it breaks."""
        item = self.around.take(at, move)
        return list(rules.of_time(self.around)) if item is None else self._feed(item)

    def _feed(self, first: core.Input) -> list[Breach]:
        """Give the reducer an input, and what follows from it at once."""
        around, inputs, broken = self.around, deque([first]), list[Breach]()
        while inputs:
            item = inputs.popleft()
            try:
                effects = self.reducer.step(around.now, item)
            except Exception:
                broken.append(Breach("complaint", traceback.format_exc().strip().splitlines()[-1]))
                return broken
            for effect in effects:
                broken += rules.of_effect(around, effect)
                after = around.carry_out(effect)
                if after is not None:
                    inputs.append(after)
            broken += rules.of_input(around, item)
            around.settle()
        if not broken:
            broken += rules.of_tables(around, self.reducer, self.balancer)
        return broken
