"""A coordination handler on a one-member log whose writes complete at once, with a simulated clock."""

from __future__ import annotations

import random
from itertools import count
from typing import Any

from coralvale.cluster.consensus import messages as m
from coralvale.cluster.consensus.replica import DurableState, Replica, Timing
from coralvale.cluster.coordination.desk import CoordinationAnswer, CoordinationHandler, CoordinationNotice
from coralvale.cluster.coordination.model import Call, Outcome
from coralvale.cluster.coordination.notices import Notice
from coralvale.cluster.coordination.state import CoordinationState


class SingleMember:
    """A handler with its replica, the answers to its calls and its notices."""

    def __init__(self) -> None:
        self.now = 100.0
        chance = random.Random(1)
        self.replica = Replica(
            m.Member("a", "gateway-a", "10.0.0.1"), DurableState(), Timing(min_voters=1), chance, self.now
        )
        self.state, self.tokens = CoordinationState(), count(1)
        self.handler = CoordinationHandler(self.replica, self.state, lambda: next(self.tokens), chance, 20.0)
        self.answers: dict[int, Outcome] = {}
        self.notices: list[Notice] = []
        self.act([*self.replica.start(self.now), *self.replica.bootstrap(self.now)])
        self.act(self.replica.tick(self.now))

    def call(self, call: Call) -> Outcome | None:
        """The outcome, None while the call is pending."""
        token = next(self.tokens)
        self.act(self.handler.call(self.now, token, call))
        return self.answers.get(token)

    def wait(self, seconds: float) -> None:
        """Advances the clock and ticks."""
        self.now += seconds
        self.act([*self.replica.tick(self.now), *self.handler.tick(self.now)])

    def act(self, actions: list[Any]) -> None:
        """Carries out actions of the replica and the handler, with all that follow from them."""
        left = list(actions)
        while left:
            action = left.pop(0)
            match action:
                case m.Write():
                    left += self.replica.write_completed(self.now, action.number)
                case m.Deliver():
                    if action.entry.kind == m.COORDINATION:
                        left += self.handler.deliver(self.now, action.entry.body)
                case m.Settled():
                    left += self.handler.settled(self.now, action.token, action.accepted)
                case CoordinationAnswer():
                    self.answers[action.token] = action.outcome
                case CoordinationNotice():
                    self.notices.append(action.notice)
