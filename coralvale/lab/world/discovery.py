"""Discovery: the list of hosts, and when each gateway hears of a change."""

from __future__ import annotations

from typing import TYPE_CHECKING

from coralvale import interface as api

if TYPE_CHECKING:
    from coralvale.lab.world.fleet import Driver
    from coralvale.lab.world.hosts import Host
    from coralvale.lab.world.platform import Platform


class Discovery:
    """Changes go to each gateway after a time of its own; while it is down they wait until it is back."""

    def __init__(self, world: Platform) -> None:
        self.world = world
        self.up, self.late = True, 0.0
        self.listed: dict[str, api.Server] = {}

    def server(self, host: Host, state: api.ServerState) -> api.Server:
        born = self.world.engine.origin + host.born if host.born is not None else 0.0
        return api.Server(host.name, state, zone=host.zone, started_at=born)

    def change(self, hosts: list[Host], state: api.ServerState) -> None:
        """Hosts are in another state from now on."""
        told = tuple(self.server(h, state) for h in hosts)
        for one in told:
            if state is api.ServerState.GONE:
                self.listed.pop(one.id, None)
            else:
                self.listed[one.id] = one
        if self.up:
            self._spread(told)

    def _spread(self, told: tuple[api.Server, ...]) -> None:
        world = self.world
        for driver in world.drivers:
            delay = world.experiment.discovery.spread * world.lots["discovery"].random() + self.late
            world.engine.later(delay, driver.listen, api.ServerList(api.ListKind.CHANGES, told))

    def back(self) -> None:
        """It answers again; all have the whole list soon."""
        self.up = True
        for driver in self.world.drivers:
            delay = self.world.experiment.discovery.spread * self.world.lots["discovery"].random()
            self.world.engine.later(delay, self.tell, driver)

    def tell(self, driver: Driver) -> None:
        """The whole list as it is now, or the news that there is no answer."""
        if self.up:
            driver.listen(api.ServerList(api.ListKind.FULL, tuple(self.listed.values())))
        else:
            driver.listen(api.ServerList(api.ListKind.FAILED))
