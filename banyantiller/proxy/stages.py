"""Traffic shares that change in stages after a bundle is accepted."""

from typing import NamedTuple

from banyantiller.bundle import options


class ServiceStage(NamedTuple):
    """A service at one of its stages.

    Attributes:
        service: Options with the shares that currently apply.
        next_s: Seconds until the next stage, or None.
    """

    service: options.Service
    next_s: float | None


def service_at(service: options.Service, elapsed_s: float) -> ServiceStage:
    """Returns the service as it is some seconds after acceptance."""
    shares = service.shares
    for stage in sorted(service.stages, key=lambda item: item.after_s):
        if stage.after_s > elapsed_s:
            next_s = stage.after_s - elapsed_s
            return ServiceStage(service._replace(shares=shares), next_s)
        shares = stage.shares
    return ServiceStage(service._replace(shares=shares), None)
