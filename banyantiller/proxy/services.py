"""The services of the bundle in force, and those that are going."""

import asyncio
from collections.abc import Callable

from banyantiller.bundle import options
from banyantiller.proxy import driver, matching, stages, watchdog


class Services:
    """Keeps one driver for each service, through changes of the bundle.

    Attributes:
        bundle: Bundle in force.
        accepted_at: Wall-clock seconds at which it was accepted.
        routes: Finds the driver of a request's service.
        drivers: Drivers by service name.
        retired: Drivers of services taken out whose calls have not ended.
    """

    def __init__(
        self,
        make: Callable[[options.Service], driver.ServiceDriver],
        wall: Callable[[], float],
    ) -> None:
        self.make = make
        self.wall = wall
        self.loop = asyncio.get_running_loop()
        self.bundle = options.Bundle(())
        self.accepted_at = 0.0
        self.alive = 1
        self.routes: matching.Routes[driver.ServiceDriver] = matching.Routes()
        self.drivers: dict[str, driver.ServiceDriver] = {}
        self.retired: list[driver.ServiceDriver] = []
        self.watch = watchdog.Watchdog(self.loop, self._next_stage)

    def apply(self, bundle: options.Bundle, accepted_at: float) -> None:
        """Takes a bundle; drivers of services that stay are kept.

        The routes change all at once, after every new driver is made: where
        one can't be made, the bundle before stays in force whole.
        """
        elapsed_s = self.wall() - accepted_at
        old = self.drivers
        drivers = self._drivers_of(bundle, elapsed_s)
        routes: matching.Routes[driver.ServiceDriver] = matching.Routes()
        for service in bundle.services:
            routes.add(service, drivers[service.name])
        self.bundle = bundle
        self.accepted_at = accepted_at
        self.drivers = drivers
        self.routes = routes
        for service in bundle.services:
            if service.name in old:
                staged = stages.at(service, elapsed_s)
                drivers[service.name].configure(staged.service)
        for name, removed in old.items():
            if name not in drivers:
                removed.retire()
                self.retired.append(removed)
        self.close_retired()
        self._set_watch(elapsed_s)

    def members(self, alive: int) -> None:
        """Takes the number of daemons believed alive."""
        self.alive = alive
        for item in self.drivers.values():
            item.members(alive)

    def close_retired(self) -> None:
        """Closes the drivers of services taken out that have no call left."""
        for item in [old for old in self.retired if old.idle()]:
            self.retired.remove(item)
            item.close()

    def close(self) -> None:
        """Closes every driver at once."""
        self.watch.stop()
        for item in [*self.drivers.values(), *self.retired]:
            item.close()

    def _drivers_of(
        self, bundle: options.Bundle, elapsed_s: float
    ) -> dict[str, driver.ServiceDriver]:
        """Returns a driver for each service of a bundle.

        One that exists is not configured yet; others are new.
        """
        drivers = dict(self.drivers)
        made: list[driver.ServiceDriver] = []
        try:
            for service in bundle.services:
                if service.name not in drivers:
                    made.append(self._new_driver(service, elapsed_s))
                    drivers[service.name] = made[-1]
        except BaseException:
            # Their timers would run on, one more for each such bundle.
            for one in made:
                one.close()
            raise
        return {one.name: drivers[one.name] for one in bundle.services}

    def _new_driver(
        self, service: options.Service, elapsed_s: float
    ) -> driver.ServiceDriver:
        made = self.make(stages.at(service, elapsed_s).service)
        made.members(self.alive)
        return made

    def _next_stage(self) -> None:
        elapsed_s = self.wall() - self.accepted_at
        for service in self.bundle.services:
            if service.stages:
                staged = stages.at(service, elapsed_s)
                self.drivers[service.name].configure(staged.service)
        self._set_watch(elapsed_s)

    def _set_watch(self, elapsed_s: float) -> None:
        waits = [stages.at(s, elapsed_s).next_s for s in self.bundle.services]
        known = [wait for wait in waits if wait is not None]
        if known:
            self.watch.set(self.loop.time() + min(known))
        else:
            self.watch.stop()
