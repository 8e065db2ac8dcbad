"""Which list of hosts is served, and at what weights: recovery, older lists, drains, warmth.

What may be served is a matter of what proxies can have seen before:

  state      begins                                   serves
  ---------  ---------------------------------------  --------------------------------------------------------
  unknown    at the start, with nothing saved         nothing: a proxy keeps what it has, while an empty or an
                                                      old list (the configuration's `known`) would undo drains
  saved      at the start, with a saved roster        the saved roster; a saved drain stays a drain
  live       once discovery has answered              discovery's list
  older      discovery answers with an index below    what was served before. After `older_list` seconds it is
             the one served                           a new numbering (a discovery that began anew), and taken;
                                                      a drain of the same life of a host stays one even then

Weights are size times warmth, the share of its full capacity that a cold host surely has by the decisions' own
figures (`Host.warmup` in coralvale/health.py). Every proxy gives a host that share of its own requests, so all
proxies together keep it under its multiple, however many they are; a weight that comes late is one that was
surely right earlier, hence lower, and errs on the cold host's side.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass, replace
from enum import Enum

from coralvale import interface as api
from coralvale.control.model import Host, Placed
from coralvale.health import Host as Known

UNIT = 1000  # weight of a host of size 1 that is warm; leaves three digits for cold ones
MOST = 2**31  # of a locality's sum, which proxies hold in 32 bits


class State(Enum):
    UNKNOWN = "unknown"
    SAVED = "saved"
    LIVE = "live"
    OLDER = "older"


@dataclass(frozen=True, slots=True)
class Drain:
    """A host that was told as leaving; `life` tells it from one that comes back under its name."""

    life: tuple[str, float]
    told_at: float


class Roster:
    """Takes lists and tells what is to be served: None while that is unknown."""

    def __init__(self, settings: api.Settings, older_list: float) -> None:
        self.settings, self.older_list = settings, older_list
        self.state = State.UNKNOWN
        self.hosts: dict[str, Host] = {}
        self.index: int | None = None  # of the list that is served
        self.older_since: float | None = None
        self.drains: dict[tuple[str, float], Drain] = {}

    def restore(self, hosts: Iterable[Host], index: int | None, now: float) -> None:
        """Takes what an earlier life of the service last served."""
        self.hosts, self.index, self.state = {h.id: h for h in hosts}, index, State.SAVED
        self.drains = {h.life: Drain(h.life, now) for h in self.hosts.values() if h.leaving}

    def listed(self, now: float, index: int | None, hosts: Iterable[Host]) -> list[Drain]:
        """Takes discovery's whole list as it is now; returns the drains that it tells for the first time."""
        listed = {h.id: h for h in hosts}
        if self.index is not None and index is not None and index < self.index:
            if self.older_since is None:
                self.older_since = now
            if now < self.older_since + self.older_list:
                self.state = State.OLDER
                return self._told(now, self._drained_by(listed))
        if self.index is not None and (index is None or index <= self.index):  # not newer: it ends no drain
            listed = {name: self._still(host) for name, host in listed.items()}
        self.older_since, self.state = None, State.LIVE
        self.index = self.index if index is None else index
        self.hosts = listed
        return self._told(now, listed)

    def _drained_by(self, listed: dict[str, Host]) -> dict[str, Host]:
        """An older list is not served, but a drain in it is kept: it can only take work from a host."""
        for name, host in listed.items():
            held = self.hosts.get(name)
            if host.leaving and held is not None and held.life == host.life and not held.leaving:
                self.hosts[name] = replace(held, leaving=True)
        return self.hosts

    def _still(self, host: Host) -> Host:
        return replace(host, leaving=True) if host.life in self.drains else host

    def _told(self, now: float, listed: dict[str, Host]) -> list[Drain]:
        lives = {h.life for h in listed.values() if h.leaving}
        new = [Drain(life, now) for life in lives if life not in self.drains]
        kept = {life: drain for life, drain in self.drains.items() if life in lives}
        self.drains = kept | {drain.life: drain for drain in new}
        return new

    def view(self, now: float) -> tuple[Placed, ...] | None:
        """What is to be served now, by name; None while the roster is unknown."""
        if self.state is State.UNKNOWN:
            return None
        return tuple(self._place(now, self.hosts[name]) for name in sorted(self.hosts))

    def _place(self, now: float, host: Host) -> Placed:
        info = api.Server(host.id, api.ServerState.HEALTHY, host.scale, started_at=host.started_at)
        warmth = Known(info, now).warmup(self.settings, now)
        weight = math.floor(UNIT * max(host.scale, 0.01) * warmth)
        return Placed(host, min(max(1, weight), MOST // max(1, len(self.hosts))), cold=warmth < 1)

    def warming(self, now: float) -> bool:
        """Whether some host's weight still grows."""
        return any(
            h.started_at and now < h.started_at + self.settings.warm_after for h in self.hosts.values()
        )
