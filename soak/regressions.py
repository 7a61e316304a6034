"""Seeds that ever failed, with the sizes that they failed at and the cause."""

from typing import NamedTuple

from soak import plan as plans


class Regression(NamedTuple):
    """A seed that is played again.

    Attributes:
        seed: The seed.
        sizes: Sizes of the run in which it failed.
        cause: What was wrong, and whether it was mended.
    """

    seed: int
    sizes: plans.Sizes
    cause: str


SIZES = plans.Sizes()

REGRESSIONS: tuple[Regression, ...] = (
    Regression(
        7,
        SIZES,
        "A draining daemon whose connections had all closed once ended while a"
        " call on a later connection was at work. Mended.",
    ),
)
