"""SWIM with suspicion and Lifeguard's local health, without I/O: packets and time in, packets and events out.

Sources: A. Das, I. Gupta, A. Motivala, "SWIM", DSN 2002 (probes, indirect probes, incarnations, round robin,
piggybacked gossip); A. Dadgar, J. Phillips, J. Currey, "Lifeguard", DSN-W 2018 (local health, suspicion that
shortens with each who confirms it, the suspect told first). What is added:

- A process that did not run for a while (`Stalled`) has heard nobody, which tells nothing of the others: all that
  it waits for waits as much longer, and it begins to probe as slowly as one in ill health.
- The dead are remembered and tried again by an exchange of all that is known, so that two halves find each other.
  What such an exchange calls dead is suspected only: it may be the one asked that was cut off.
- Who is called dead is told so: by the one that finds it, and by each that it still talks to. In the paper nobody
  speaks to the dead, so that one that lives hears of it late (memberlist gossips to the dead for a while).
- Who says that one is ill of whom more is known is told so: a member that missed the news that another lives
  would otherwise go on to call it dead by itself.
- An exchange is answered `syncs_per_s` times; past that others are named. So a seed is not run over by a fleet
  that joins at once.

`tick` is to be called at `due()` or sooner; it does what has become due. `sends` and `events` are emptied by the
caller.
"""

from __future__ import annotations

import heapq
import math
import random
from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from coralvale.members.model import (
    GONE,
    Ack,
    Address,
    Ask,
    Busy,
    Changed,
    Event,
    Gossip,
    Member,
    Message,
    Nack,
    Packet,
    Ping,
    Refuted,
    Send,
    Settings,
    Stalled,
    State,
    Sync,
    Taken,
    Update,
)

STALL = 0.25  # s that a tick may be late before it counts as a stall: more than a busy loop takes
OTHERS = 5  # addresses in a Busy
JOIN_AGAIN = 1.0  # s until a seed that did not answer is followed by another, half of it to one and a half
AGAIN_MOST = 8.0  # s that this grows to
HELPS = 64  # probes for others that one has out at once; past it, Asks go unanswered


@dataclass(slots=True)
class Known:
    """What is known of a member."""

    update: Update
    since: float  # s, when its state became what it is
    heard: float = 0.0  # s, when a packet of its own came last; 0: none has

    @property
    def there(self) -> bool:
        return self.update.state not in GONE


@dataclass(slots=True)
class Suspicion:
    begun: float
    ends: float
    by: set[str] = field(default_factory=set)


@dataclass(slots=True)
class Probe:
    to: str
    ask_at: float
    ends: float
    asked: int = 0
    nacks: int = 0


@dataclass(slots=True)
class Help:
    """A probe for another."""

    asker: Address
    number: int  # the asker's
    nack_at: float
    ends: float
    told: bool = False


class Swim:
    """One member. Raises nothing for what others send; what is left out is in `counted`."""

    def __init__(
        self, me: Member, incarnation: int, settings: Settings, chance: random.Random, now: float
    ) -> None:
        self.me, self.settings, self.chance = me, settings, chance
        self.known = {me.name: Known(Update(State.ALIVE, me, incarnation), now)}
        self.sends: list[Send] = []
        self.events: list[Event] = []
        self.counted: Counter[str] = Counter()
        self.health = 0  # 0: well; each step makes it as slow again
        self.others: list[str] | None = None  # names of all others that are there; None: not listed now
        self.there = 1  # members that are not gone, this one as well
        self.serial = chance.randrange(1 << 30)
        self.order: list[str] = []
        self.probes: dict[int, Probe] = {}
        self.helps: dict[int, Help] = {}
        self.suspects: dict[str, Suspicion] = {}
        self.queue: dict[str, tuple[int, Update]] = {}  # times sent, and what
        self.seeds: list[Address] = []
        self.candidates: list[Address] = []  # that a busy one named
        self.joined = False
        self.leaving = False
        self.room, self.room_at = settings.syncs_per_s, now  # Syncs that may be answered now
        self.ticked = now
        self.probe_at = now + settings.period * chance.random()
        self.gossip_at = now + settings.gossip_every * chance.random()
        self.sync_at = now + settings.sync_every * (0.5 + chance.random())
        self.rejoin_at = now + settings.rejoin
        self.join_at, self.pause = math.inf, JOIN_AGAIN
        self._tell(self.known[me.name].update)

    # What the caller asks

    @property
    def incarnation(self) -> int:
        return self.known[self.me.name].update.incarnation

    def view(self) -> list[Update]:
        """All that is known, this member as well, by name."""
        return [self.known[name].update for name in sorted(self.known)]

    def alive(self) -> list[Member]:
        """Members that are not gone, this one as well, by name. A suspect is one of them until it is dead."""
        return [u.member for u in self.view() if u.state not in GONE]

    def join(self, now: float, seeds: Sequence[Address]) -> None:
        """Asks one of the seeds for all that it knows, and others until one answers."""
        self.seeds = [s for s in seeds if s != self.me.address]
        if self.seeds:
            self.join_at = now
            self.tick(now)
        else:
            self.joined = True

    def leave(self, now: float) -> None:
        """Tells the others that it goes; they hear it with the next packets of gossip."""
        self.leaving = True
        self._set(now, Update(State.LEFT, self.me, self.incarnation, self.me.name))

    def change(self, now: float, member: Member) -> None:
        """Says something else of this member, such as its weight. Raises ValueError for another name."""
        if member.name != self.me.name:
            raise ValueError(f"{member.name}: expected {self.me.name}")
        self.me = member
        self._live(now, self.incarnation + 1)

    # Time

    def due(self) -> float:
        """When `tick` is to be called again at the latest."""
        return min(self.gossip_at, self._waits()) if self.queue else self._waits()

    def _waits(self) -> float:
        """The same without gossip, which may have been nothing for long."""
        times = [self.probe_at, self.sync_at, self.join_at, self.rejoin_at]
        times += [min(p.ask_at, p.ends) for p in self.probes.values()]
        times += [h.ends if h.told else h.nack_at for h in self.helps.values()]
        times += [s.ends for s in self.suspects.values()]
        return min(times)

    def tick(self, now: float) -> None:
        """Does what has become due."""
        settings = self.settings
        late = now - max(self.ticked, self._waits())
        if late > STALL:
            self._stalled(late)
        self.ticked = max(self.ticked, now)
        for number, probe in list(self.probes.items()):
            if probe.ends <= now:
                self._failed(now, number, probe)
            elif probe.ask_at <= now:
                self._ask(now, number, probe)
        for number, helped in list(self.helps.items()):
            if helped.ends <= now:
                del self.helps[number]
            elif not helped.told and helped.nack_at <= now:
                helped.told = True
                self._send(helped.asker, Nack(helped.number))
        for name, suspicion in list(self.suspects.items()):
            if suspicion.ends <= now:
                told = self.known[name].update
                self._set(now, Update(State.DEAD, told.member, told.incarnation, self.me.name))
                self._send(told.member.address, Gossip(), first=name)
        if self.probe_at <= now:
            self._probe(now)
        if self.queue and self.gossip_at <= now:
            self.gossip_at = now + settings.gossip_every
            for name in self._some(settings.fanout):
                self._send(self._address(name), Gossip())
        if self.join_at <= now:
            self._join(now)
        if self.sync_at <= now:
            self.sync_at = now + settings.sync_every * (0.5 + self.chance.random())
            if names := self._some(1):
                self._exchange(self._address(names[0]))
            self._forget(now)
        if self.rejoin_at <= now:
            self.rejoin_at = now + settings.rejoin * max(1, self.there) * (0.5 + self.chance.random())
            self._rejoin()

    def _stalled(self, late: float) -> None:
        self.events.append(Stalled(late))
        self._sick(self.settings.health_most // 2)
        for probe in self.probes.values():
            probe.ask_at, probe.ends = probe.ask_at + late, probe.ends + late
        for helped in self.helps.values():
            helped.nack_at, helped.ends = helped.nack_at + late, helped.ends + late
        for suspicion in self.suspects.values():
            suspicion.begun, suspicion.ends = suspicion.begun + late, suspicion.ends + late

    # Probes

    def _probe(self, now: float) -> None:
        settings = self.settings
        slower = self.health + 1
        self.probe_at = now + settings.period * slower
        name = self._next()
        if name is None:
            return
        number = self._number()
        self.probes[number] = Probe(name, now + settings.timeout * slower, self.probe_at)
        self._send(self._address(name), Ping(number, name), first=self._ill(name))

    def _next(self) -> str | None:
        """Round robin over a random order, each once before any again (SWIM, section 4.3)."""
        for _ in range(2):
            while self.order:
                name = self.order.pop()
                if name != self.me.name and (known := self.known.get(name)) and known.there:
                    return name
            self.order = [n for n, known in self.known.items() if known.there and n != self.me.name]
            self.chance.shuffle(self.order)
        return None

    def _ask(self, now: float, number: int, probe: Probe) -> None:
        probe.ask_at = math.inf
        known = self.known.get(probe.to)
        if known is None:
            return
        for name in self._some(self.settings.indirect, probe.to):
            probe.asked += 1
            self._send(self._address(name), Ask(number, probe.to, known.update.member.address))

    def _failed(self, now: float, number: int, probe: Probe) -> None:
        del self.probes[number]
        # Those asked who said nothing tell that it is this member's own hearing that fails (Lifeguard, III.A).
        self._sick(probe.asked - probe.nacks if probe.asked else 1)
        known = self.known.get(probe.to)
        if known and known.there:
            told = known.update
            self._suspect(now, Update(State.SUSPECT, told.member, told.incarnation, self.me.name))

    def _sick(self, by: int) -> None:
        self.health = min(self.settings.health_most, max(0, self.health + by))

    # What comes

    def receive(self, now: float, source: Address, packet: Packet) -> None:
        """A packet has come from an address. One by a connection is answered to that address as well."""
        if known := self.known.get(packet.sender):
            known.heard = now
        stale = ""
        for update in packet.gossip:
            if self._hear(now, update):
                stale = update.member.name
        message = packet.message
        if isinstance(message, Ping):
            if message.to == self.me.name and not self.leaving:
                self._send(source, Ack(message.number), first=stale or self._ill(packet.sender))
                stale = ""
            else:
                self.counted["not for this one"] += 1
        elif isinstance(message, Ack):
            self._acked(message.number)
        elif isinstance(message, Nack):
            if probe := self.probes.get(message.number):
                probe.nacks = min(probe.asked, probe.nacks + 1)
        elif isinstance(message, Ask):
            self._help(now, source, message)
        elif isinstance(message, Sync):
            self._synced(now, source, packet.sender, message)
        elif isinstance(message, Busy):
            self.candidates = [a for a in message.others[:OTHERS] if a != self.me.address]
        if stale:
            self._send(source, Gossip(), first=stale)

    def _acked(self, number: int) -> None:
        if self.probes.pop(number, None) is not None:
            self._sick(-1)
        elif helped := self.helps.pop(number, None):
            self._send(helped.asker, Ack(helped.number))
        else:
            self.counted["answers too late"] += 1

    def _help(self, now: float, source: Address, ask: Ask) -> None:
        if len(self.helps) >= HELPS:
            self.counted["probes for others left out"] += 1
            return
        settings, number = self.settings, self._number()
        self.helps[number] = Help(source, ask.number, now + settings.timeout, now + 2 * settings.period)
        self._send(ask.address, Ping(number, ask.to), first=self._ill(ask.to))

    # All that is known

    def _join(self, now: float) -> None:
        if self.joined:
            self.join_at = math.inf
            return
        self.join_at = now + self.pause * (0.5 + self.chance.random())
        self.pause = min(AGAIN_MOST, 2 * self.pause)
        to = self.candidates or self.seeds
        address = to[self.chance.randrange(len(to))]
        self.candidates = []
        self._exchange(address)

    def _rejoin(self) -> None:
        """With one that is gone, or a seed that is not there: so two halves find each other."""
        there = {known.update.member.address for known in self.known.values() if known.there}
        gone = [k.update.member.address for k in self.known.values() if k.update.state is State.DEAD]
        gone = [address for address in gone + self.seeds if address not in there]
        if gone and not self.leaving:
            self._exchange(gone[self.chance.randrange(len(gone))])

    def _exchange(self, address: Address) -> None:
        self._send(address, Sync(self._number(), tuple(self.view()), False), whole=True)

    def _synced(self, now: float, source: Address, sender: str, message: Sync) -> None:
        for update in message.updates:
            if update.state is State.DEAD:
                update = Update(State.SUSPECT, update.member, update.incarnation, update.by or sender)
            self._hear(now, update)
        if message.answer:
            self.joined = True
            return
        rate = self.settings.syncs_per_s
        self.room = min(rate, self.room + rate * max(0.0, now - self.room_at))
        self.room_at = max(self.room_at, now)
        if self.room >= 1:
            self.room -= 1
            self._send(source, Sync(message.number, tuple(self.view()), True), whole=True)
        else:
            self.counted["exchanges turned away"] += 1
            others = tuple(self._address(name) for name in self._some(OTHERS, sender))
            self._send(source, Busy(message.number, others), whole=True)

    def _forget(self, now: float) -> None:
        """Drops those gone for long: what bounds memory when names change with every restart."""
        for name, known in list(self.known.items()):
            if not known.there and name != self.me.name and now - known.since > self.settings.forget:
                del self.known[name]
                self.queue.pop(name, None)
        self.order = [name for name in self.order if name in self.known]

    # What is said of members (SWIM, section 4.2)

    def _hear(self, now: float, update: Update) -> bool:
        """Takes what is said of a member. Whether it calls one ill of whom a higher incarnation is known here."""
        name = update.member.name
        if name == self.me.name:
            self._of_me(now, update)
            return False
        known = self.known.get(name)
        if known is None:
            if update.state in GONE:
                return False  # of no use to one who did not know it
            if len(self.known) >= self.settings.most:
                self.counted["members past the bound"] += 1
                return False
            self._set(now, Update(State.ALIVE, update.member, update.incarnation))
            if update.state is State.SUSPECT:
                self._suspect(now, update)
            return False
        told = known.update
        # The greater of incarnation, then state, holds: whatever comes in any order, the end is the same.
        if (update.incarnation, update.state) > (told.incarnation, told.state):
            if update.state is State.SUSPECT:
                self._suspect(now, update)
            else:
                self._set(now, update)
        elif update.state is told.state is State.SUSPECT and update.incarnation == told.incarnation:
            self._suspect(now, update)  # another who suspects it
        return update.state in (State.SUSPECT, State.DEAD) and update.incarnation < told.incarnation

    def _of_me(self, now: float, update: Update) -> None:
        if self.leaving:
            return
        if update.state is State.ALIVE:
            if update.member.address != self.me.address and update.incarnation >= self.incarnation:
                self.events.append(Taken(update.member.address))
            if update.incarnation > self.incarnation or (
                update.incarnation == self.incarnation and update.member != self.me
            ):
                self._live(now, update.incarnation + 1)
        elif update.incarnation >= self.incarnation:
            self.events.append(Refuted(update.state, update.by))
            self._sick(1)
            self._live(now, update.incarnation + 1)

    def _live(self, now: float, incarnation: int) -> None:
        self.known[self.me.name] = Known(Update(State.ALIVE, self.me, incarnation), now)
        self._tell(self.known[self.me.name].update)

    def _suspect(self, now: float, update: Update) -> None:
        name = update.member.name
        suspicion = self.suspects.get(name)
        if suspicion is None or update.incarnation > self.known[name].update.incarnation:
            self._set(now, update)
            suspicion = self.suspects[name] = Suspicion(now, now)
        elif update.by in suspicion.by or len(suspicion.by) > self.settings.confirmations:
            return
        else:
            self._tell(update)  # that another suspects it, too, is news
        suspicion.by.add(update.by)
        suspicion.ends = suspicion.begun + self.patience(len(suspicion.by) - 1)

    def patience(self, others: int) -> float:
        """Seconds until a suspect is dead when so many others confirm it (Lifeguard, section III.B)."""
        settings = self.settings
        least = settings.suspicion * settings.period * max(1.0, math.log10(max(1, self.there)))
        wanted = min(settings.confirmations, self.there - 3)  # of those who are neither it nor the two
        if wanted < 1:
            return least
        most = settings.patience * least
        return max(least, most - (most - least) * math.log(others + 1) / math.log(wanted + 1))

    def _set(self, now: float, update: Update) -> None:
        name = update.member.name
        known = self.known.get(name)
        before = known.update.state if known else None
        was, there = known is not None and known.there, update.state not in GONE
        self.there += there - was
        if there != was:
            self.others = None
        if known is None:
            self.known[name] = Known(update, now)
            # Anywhere in the order, so that no newcomer waits for a whole round (SWIM, section 4.3).
            self.order.insert(self.chance.randrange(len(self.order) + 1), name)
        else:
            if before is not update.state:
                known.since = now
            known.update = update
        if update.state is not State.SUSPECT:
            self.suspects.pop(name, None)
        self._tell(update)
        if name != self.me.name and (before is not update.state or update.state is State.ALIVE):
            self.events.append(Changed(update, before))

    # Packets

    def _tell(self, update: Update) -> None:
        self.queue[update.member.name] = (0, update)

    def _number(self) -> int:
        self.serial = (self.serial + 1) % (1 << 32)
        return self.serial

    def _address(self, name: str) -> Address:
        return self.known[name].update.member.address

    def _ill(self, name: str) -> str:
        """The name if this member takes it for ill, so that it hears so (Lifeguard's buddy, section III.C)."""
        known = self.known.get(name)
        return name if known and known.update.state in (State.SUSPECT, State.DEAD) else ""

    def _some(self, count: int, *without: str) -> list[str]:
        """Others that are there, at random."""
        if self.others is None:
            self.others = [n for n, known in self.known.items() if known.there and n != self.me.name]
        names = [n for n in self.others if n not in without] if without else self.others
        return self.chance.sample(names, min(count, len(names)))

    def _send(self, to: Address, message: Message, first: str = "", whole: bool = False) -> None:
        gossip = () if whole else tuple(self._gossip(first))
        self.sends.append(Send(to, Packet(self.me.name, message, gossip), whole))

    def _gossip(self, first: str) -> Iterable[Update]:
        """What has been told least, up to the bound on bytes; `first` goes ahead of all."""
        room = self.settings.gossip_bytes
        if known := self.known.get(first):
            room -= known.update.size()
            yield known.update
        if not self.queue:
            return
        enough = math.ceil(self.settings.spread * math.log10(self.there + 1))
        least = heapq.nsmallest(room // 50, self.queue.items(), key=lambda item: item[1][0])
        for name, (times, update) in least:
            if name == first:
                continue
            room -= update.size()
            if room < 0:
                return
            if times + 1 >= enough:
                del self.queue[name]
            else:
                self.queue[name] = (times + 1, update)
            yield update
