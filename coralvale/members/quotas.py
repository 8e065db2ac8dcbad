"""Quotas by the view: which member owns a customer, and what this gateway asks of the owners. No I/O.

It is what the decisions ask (`interface.Allowance`): whether a request has room, by what an owner has lent. A
request that finds nothing in hand is held for a short time while its owner is asked (`hold`); without an answer
by then, or with nobody to ask, the decisions go on by their ordinary path. Ceilings stay with that path: its even
parts hold them whoever is cut off from whom.
"""

from __future__ import annotations

import math
from collections import defaultdict, deque
from collections.abc import Callable, Sequence

from coralvale import interface as api
from coralvale.members.model import GONE, ROWS, Changed, Grants, Hands, Message, Stalled, Update, Want, Wants
from coralvale.members.owned import Owner, Taker
from coralvale.members.placement import Placement

HOLD = 0.03  # s that a request waits for its owner's answer, as long as for the counter's
MOST_HELD = 5000  # requests that wait at once; past it they go by the ordinary path
TICK = 0.01  # s between looks at what has ended

Go = Callable[[], None]


class Quotas:
    """One gateway's side and its part as an owner. `sends` holds (member, message), emptied by the caller."""

    def __init__(self, me: str, plans: Sequence[api.Plan], now: float = math.inf, hold: float = HOLD) -> None:
        """`now` is when it begins; left out, nothing is ever taken as known of a customer that is new.

        `hold` is the longest that a request waits for its owner, in s.
        """
        self.me, self.plans, self.longest = me, plans, hold
        self.owner, self.taker, self.placement = Owner(plans, since=now), Taker(), Placement()
        self.sends: list[tuple[str, Message]] = []
        self.waits: defaultdict[int, list[tuple[str, float, Go]]] = defaultdict(list)
        self.ends: deque[tuple[float, int, str]] = deque()
        self.held = 0
        self.silent: set[str] = set()  # owners that have not answered in time since they last did
        self.counted: defaultdict[str, int] = defaultdict(int)

    # The view

    def changed(self, now: float, event: Changed) -> None:
        """A member has come, gone, or says something else of itself."""
        update: Update = event.update
        member = update.member
        if update.state in GONE:
            if member.name in self.placement.members:
                self.placement.leave(member.name)
                self.taker.lost(member.name)
                self.silent.discard(member.name)
                self._hand_over(now)
        elif self.placement.members.get(member.name) != member:
            self.placement.join(member)
            self._hand_over(now)

    def leave(self, now: float) -> None:
        """This member goes: its buckets are the others' from now on."""
        self.placement.leave(self.me)
        if self.placement.members:
            self._hand_over(now)

    def _hand_over(self, now: float) -> None:
        """Owners have changed: buckets that have another one now go there."""
        self.owner.since = now
        moved: defaultdict[str, list[int]] = defaultdict(list)
        for key in self.owner.buckets:
            if (name := self.owner_of(key)) != self.me:
                moved[name].append(key)
        for name, keys in moved.items():
            hands = self.owner.give_up(now, keys)
            self.counted["buckets handed over"] += len(hands)
            for start in range(0, len(hands), ROWS):
                self.sends.append((name, Hands(tuple(hands[start : start + ROWS]))))

    def owner_of(self, customer: int) -> str:
        """The name of the customer's owner; this member's own while it knows nobody."""
        owner = self.placement.owner(customer.to_bytes(8))
        return owner.name if owner else self.me

    def stalled(self, now: float, event: Stalled) -> None:
        self.owner.stalled(now)

    # Messages

    def receive(self, now: float, sender: str, message: Message) -> None:
        """One from a member. Others' are left alone."""
        if isinstance(message, Wants):
            grants = []
            for want in message.rows:
                grant = self.owner.want(now, sender, want, self.owner_of(want.key) == self.me)
                if want.units > 0:
                    grants.append(grant)
            self.counted["asks answered"] += len(grants)
            if grants:
                self.sends.append((sender, Grants(tuple(grants))))
        elif isinstance(message, Grants):
            self.silent.discard(sender)
            for grant in message.rows:
                if self.taker.granted(now, sender, grant):
                    self._judge(now, grant.key)
                else:
                    self.counted["grants that do not count"] += 1
        elif isinstance(message, Hands):
            for hand in message.rows:
                self.owner.take_over(now, hand)

    def _judge(self, now: float, key: int) -> None:
        """An answer has come: those that it is enough for are judged, the others wait on for the next."""
        waits, self.waits[key] = self.waits[key], []
        for place, (_, units, go) in enumerate(waits):
            if self.taker.wait(now, key, units) is None:
                self.waits[key] += waits[place:]
                break
            self.held -= 1
            go()
        if not self.waits[key]:
            del self.waits[key]
        self._flush(now)

    # Requests

    def hold(self, now: float, request: api.Request, go: Go) -> bool:
        """Whether it has to wait for its owner; `go` is called once then, within `longest` or so."""
        # A plan that changes in service has a number that the settings do not know.
        if request.plan >= len(self.plans) or not self.plans[request.plan].rate:
            return False
        if not 0 <= request.customer < 1 << 64:
            return False
        self.counted["requests"] += 1
        if self.taker.ask(now, request.customer, request.plan, request.units) is not None:
            self._flush(now)  # it may be wise to ask ahead
            return False
        self._flush(now)
        if self.taker.wait(now, request.customer, request.units) is not None:
            return False  # this one owns it, and has answered itself
        if self.held >= MOST_HELD or self.owner_of(request.customer) in self.silent:
            self.counted["went by the ordinary path"] += 1
            return False
        self.held += 1
        self.counted["requests that waited"] += 1
        self.waits[request.customer].append((request.id, request.units, go))
        self.ends.append((now + self.longest, request.customer, request.id))
        return True

    def tick(self, now: float) -> float:
        """Does what is due; when it is to be called again at the latest."""
        while self.ends and self.ends[0][0] <= now:
            _, key, id = self.ends.popleft()
            waits = self.waits.get(key, [])
            for place, (other, _, go) in enumerate(waits):
                if other == id:
                    del waits[place]
                    self.held -= 1
                    self.counted["waited in vain"] += 1
                    self.silent.add(self.owner_of(key))
                    go()
                    break
            if not waits:
                self.waits.pop(key, None)
        self._flush(now)
        return min(now + TICK, self.ends[0][0] if self.ends else math.inf)

    def _flush(self, now: float) -> None:
        """Asks and gives back, by owner; what this member owns is answered at once."""
        by_owner: defaultdict[str, list[Want]] = defaultdict(list)
        for key, want in self.taker.due(now):
            name = self.owner_of(key)
            if want.units > 0:
                self.taker.sent(key, name)
            if name == self.me:
                grant = self.owner.want(now, self.me, want)
                if want.units > 0:
                    self.taker.granted(now, self.me, grant)
            else:
                by_owner[name].append(want)
        for name, wants in by_owner.items():
            for start in range(0, len(wants), ROWS):
                self.sends.append((name, Wants(tuple(wants[start : start + ROWS]))))

    # What the decisions ask

    def wait(self, now: float, request: api.Request, plan: api.Plan, quota: bool) -> float | None:
        """Seconds until the quota has room; None for ceilings, and where its owner has said nothing."""
        known = request.plan < len(self.plans) and plan is self.plans[request.plan]
        if not (quota and plan.rate and known):
            return None
        return self.taker.wait(now, request.customer, request.units)

    def charge(self, request: api.Request, plan: api.Plan) -> None:
        if plan.rate:
            self.taker.spend(request.customer, request.id, request.units)

    def refund(self, request: api.Request, plan: api.Plan) -> None:
        if plan.rate:
            self.taker.refund(request.customer, request.id, request.units)

    def due(self, now: float) -> list[api.Action]:
        return []

    def reply(self, now: float, event: api.CounterReply) -> list[api.Action]:
        return []
