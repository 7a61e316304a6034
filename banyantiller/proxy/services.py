"""The services of the bundle in force, and removed ones that drain."""

import asyncio
from collections.abc import Callable

from banyantiller.bundle import options
from banyantiller.proxy import driver, matching, stages, timers


class Services:
    """Keeps a driver for each service across changes of the bundle.

    Attributes:
        bundle: Bundle in force.
        accepted_at: Wall-clock seconds at which it was accepted.
        routes: Finds the driver of a request's service.
        drivers: Drivers by service name.
        retired: Drivers of removed services whose calls have not ended.
    """

    def __init__(
        self,
        create_driver: Callable[[options.Service], driver.ServiceDriver],
        wall: Callable[[], float],
    ) -> None:
        self.create_driver = create_driver
        self.wall = wall
        self.loop = asyncio.get_running_loop()
        self.bundle = options.Bundle(())
        self.accepted_at = 0.0
        self.alive = 1
        self.routes: matching.Routes[driver.ServiceDriver] = matching.Routes()
        self.drivers: dict[str, driver.ServiceDriver] = {}
        self.retired: list[driver.ServiceDriver] = []
        self.timer = timers.LazyTimer(self.loop, self._apply_stage)

    def apply(self, bundle: options.Bundle, accepted_at: float) -> None:
        """Puts a bundle in force; services that remain keep their driver.

        The routes change at once, after all new drivers were created. If one
        cannot be created, the previous bundle stays in force unchanged.
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
                staged = stages.service_at(service, elapsed_s)
                drivers[service.name].configure(staged.service)
        for name, removed in old.items():
            if name not in drivers:
                removed.retire()
                self.retired.append(removed)
        self.close_retired()
        self._set_timer(elapsed_s)

    def set_alive_daemons(self, alive: int) -> None:
        """Sets the number of daemons that are alive."""
        self.alive = alive
        for item in self.drivers.values():
            item.set_alive_daemons(alive)

    def close_retired(self) -> None:
        """Closes the drivers of removed services that have no call left."""
        for item in [old for old in self.retired if old.is_idle()]:
            self.retired.remove(item)
            item.close()

    def close(self) -> None:
        """Closes all drivers at once."""
        self.timer.stop()
        for item in [*self.drivers.values(), *self.retired]:
            item.close()

    def _drivers_of(
        self, bundle: options.Bundle, elapsed_s: float
    ) -> dict[str, driver.ServiceDriver]:
        """Returns a driver for each service of a bundle.

        Existing drivers are not configured yet; missing ones are created.
        """
        drivers = dict(self.drivers)
        created: list[driver.ServiceDriver] = []
        try:
            for service in bundle.services:
                if service.name not in drivers:
                    created.append(self._new_driver(service, elapsed_s))
                    drivers[service.name] = created[-1]
        except BaseException:
            # Otherwise each such bundle would leak drivers and their timers.
            for new_driver in created:
                new_driver.close()
            raise
        return {
            service.name: drivers[service.name] for service in bundle.services
        }

    def _new_driver(
        self, service: options.Service, elapsed_s: float
    ) -> driver.ServiceDriver:
        created = self.create_driver(
            stages.service_at(service, elapsed_s).service
        )
        created.set_alive_daemons(self.alive)
        return created

    def _apply_stage(self) -> None:
        elapsed_s = self.wall() - self.accepted_at
        for service in self.bundle.services:
            if service.stages:
                staged = stages.service_at(service, elapsed_s)
                self.drivers[service.name].configure(staged.service)
        self._set_timer(elapsed_s)

    def _set_timer(self, elapsed_s: float) -> None:
        waits = [
            stages.service_at(s, elapsed_s).next_s for s in self.bundle.services
        ]
        due_in_s = [wait for wait in waits if wait is not None]
        if due_in_s:
            self.timer.set_lazily(self.loop.time() + min(due_in_s))
        else:
            self.timer.stop()
