"""At most one core is founded, whatever the order of the first messages, their loss, and restarts of
processes."""

from __future__ import annotations

import random

from coralvale.cluster.bootstrap.founding import MIN_UPTIME_S, CoreBootstrap

IPS = tuple(f"10.0.0.{n}" for n in range(6))
SEEDS = (IPS[4], IPS[1], IPS[2])  # the nominator is 10.0.0.1


class Startup:
    """Six gateways that start at the same time; messages between them are delayed, lost and duplicated."""

    def __init__(self, seed: int, disks: set[str], kind: type[CoreBootstrap] = CoreBootstrap) -> None:
        self.chance, self.kind, self.disks = random.Random(seed), kind, disks
        self.now = 0.0
        self.founders: list[str] = []
        self.open: set[str] = set()
        self.gateways = {ip: self.new_gateway(ip, True) for ip in IPS}
        self.messages: list[tuple[float, str, str, str]] = []  # arrival time, receiver, content, sender
        self.knows: dict[str, float] = {}  # when a gateway hears of the core

    def new_gateway(self, ip: str, bootstrap: bool) -> CoreBootstrap:
        return self.kind(ip, SEEDS, bootstrap, ip in self.disks, self.now)

    def core_known(self, ip: str) -> bool:
        return self.now >= self.knows.get(ip, 1e9)

    def step(self) -> None:
        self.now += 0.05
        for ip, one in self.gateways.items():
            if ip in self.disks and not one.disk_id and self.chance.random() < 0.2:
                one.disk_id = f"disk-{ip}"
            if one.should_ask(self.core_known(ip)) and self.chance.random() < 0.25:
                self.messages.append((self.now + self.chance.random(), one.nominator, "ask", ip))
        due = [w for w in self.messages if w[0] <= self.now]
        self.messages = [w for w in self.messages if w[0] > self.now]
        self.chance.shuffle(due)
        for _, to, what, of in due:
            if self.chance.random() < 0.3:
                continue  # lost
            if what == "ask":
                named = self.gateways[to].answer_request(self.now, f"disk-{of}", self.core_known(to))
                for _ in range(self.chance.choice((1, 1, 2))):
                    self.messages.append((self.now + self.chance.random(), of, named, to))
            elif self.gateways[to].accept_answer(what, self.core_known(to)):
                self.founders.append(to)
                for ip in IPS:  # told every half second, and some messages are lost
                    late = 0.0 if ip == to else 0.5 * (1 + self.chance.choice((0, 0, 0, 1)))
                    self.knows[ip] = min(self.knows.get(ip, 1e9), self.now + late)

    def restart(self, ip: str) -> None:
        """Restarts a gateway's process: it knows of no core until the next message."""
        one = self.gateways[ip] = self.new_gateway(ip, not self.founders or self.chance.random() < 0.5)
        if self.founders:
            self.knows[ip] = self.now + 0.5 + self.chance.random()
        if ip in self.founders:
            one.disk_id, one.bootstrapped = f"disk-{ip}", True  # read from its disk: the log is not empty

    def play(self, restarts: int) -> None:
        for _ in range(restarts):
            for _ in range(self.chance.randrange(1, 60)):
                self.step()
            self.restart(self.chance.choice((SEEDS[1], self.chance.choice(IPS))))
        for _ in range(200):
            self.step()


def test_at_most_one_core_is_founded_in_any_order_of_messages() -> None:
    for seed in range(600):
        for disks in ({IPS[0], IPS[3], IPS[5]}, {IPS[1], IPS[2], IPS[4]}, {IPS[2]}):
            start = Startup(seed, disks)
            start.play(restarts=seed % 4)
            assert len(start.founders) <= 1, (seed, disks)
            if not seed % 4:
                assert len(start.founders) == 1, (seed, disks)


class NamesWhoAsks(CoreBootstrap):
    """A nominator nominates every gateway that asks."""

    def answer_request(self, now: float, candidate: str, core_known: bool) -> str:
        self.nominated = ""
        return super().answer_request(now, candidate, core_known)


class NamesAtOnce(CoreBootstrap):
    """A restarted nominator without a disk nominates another before it could hear of the core."""

    def answer_request(self, now: float, candidate: str, core_known: bool) -> str:
        return super().answer_request(now + MIN_UPTIME_S, candidate, core_known)


class NamesBeforeItsDisk(CoreBootstrap):
    """A nominator nominates another while its own disk has not been read."""

    def answer_request(self, now: float, candidate: str, core_known: bool) -> str:
        had, self.has_disk = self.has_disk, bool(self.disk_id)
        try:
            return super().answer_request(now + MIN_UPTIME_S, candidate, core_known)
        finally:
            self.has_disk = had


def test_each_mutant_founds_two_cores() -> None:
    for kind, disks in (
        (NamesWhoAsks, {IPS[0], IPS[3], IPS[5]}),
        (NamesAtOnce, {IPS[0], IPS[3], IPS[5]}),
        (NamesBeforeItsDisk, {IPS[1], IPS[2], IPS[4]}),
    ):
        for seed in range(2000):
            start = Startup(seed, disks, kind)
            start.play(restarts=1 + seed % 3)
            if len(start.founders) > 1:
                break
        else:
            raise AssertionError(f"{kind.__doc__} One core came to be all the same")


def test_lost_disk_or_known_core_prevents_founding() -> None:
    lost = CoreBootstrap(IPS[1], SEEDS, False, True, 0.0, disk_id="new")
    assert (
        lost.answer_request(9.0, "other", False) == ""
        and not lost.should_ask(False)
        and not lost.accept_answer("new", False)
    )
    damaged = CoreBootstrap(IPS[1], SEEDS, True, True, 0.0, disk_id="new")
    damaged.mark_disk_lost()
    assert damaged.answer_request(9.0, "other", False) == "" and not damaged.accept_answer("new", False)
    late = CoreBootstrap(IPS[2], SEEDS, True, True, 0.0, disk_id="late")
    assert not late.should_ask(True) and not late.accept_answer("late", True)
