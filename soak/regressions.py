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
LONG_DOCUMENT = plans.Sizes(routes=200)
DENIED = (
    "A request that came behind another one before a daemon's first document"
    " was answered 404 after it. Mended."
)

REGRESSIONS: tuple[Regression, ...] = (
    Regression(
        7,
        SIZES,
        "A draining daemon whose connections had all closed once ended while a"
        " call on a later connection was at work. Mended.",
    ),
    Regression(
        201,
        SIZES,
        "Daemons that knew each other under different addresses asked in a"
        " circle, and nobody read the store. SIGHUP during a start ended the"
        " process. Both mended, but for SIGHUP before the interpreter runs the"
        " program: open.",
    ),
    *(
        Regression(
            seed,
            SIZES,
            "Changes were seen late, as for seed 201. Mended.",
        )
        for seed in (221, 232, 241)
    ),
    *(
        Regression(seed, LONG_DOCUMENT, DENIED)
        for seed in (2000, 2001, 2100, 2102, 2103, 2104, 2105)
    ),
    *(Regression(seed, SIZES, DENIED) for seed in (2106, 2108, 2109, 2110)),
    Regression(
        7001,
        SIZES,
        "A daemon refused the hedge of a call that still ran at a server, and"
        " the caller was told that it had not run. Mended.",
    ),
    Regression(
        7021,
        SIZES,
        "The last daemon that reached servers was skipped for a second after"
        " one round of its probes was in vain. Mended.",
    ),
    Regression(
        7023,
        SIZES,
        "SIGHUP before the interpreter runs the program ended the process:"
        " open.",
    ),
    Regression(
        7020,
        SIZES,
        "A daemon that reached no server of one service was skipped for calls"
        " of all others. Mended.",
    ),
    *(
        Regression(
            seed,
            SIZES,
            "Daemons without links to servers served too few calls: open.",
        )
        for seed in (7059, 50304)
    ),
    Regression(
        50303,
        SIZES,
        "A daemon that lost its servers for moments got no calls of daemons"
        " without links to servers. Mended.",
    ),
    Regression(
        7403,
        SIZES,
        "The check compared partitioned daemons with one that was told to end"
        " and refused the calls of others, as it may. Mended.",
    ),
    Regression(
        70000,
        SIZES,
        "Shutting down a connection that its caller had reset raised an error"
        " after a rejection. Mended.",
    ),
    Regression(
        80031,
        SIZES,
        "The link ended a connection in order that the server had reset, so"
        " that a broken body looked complete. Mended.",
    ),
    Regression(
        46004,
        SIZES,
        "The answer to one call for servers was lost, and the call waited for"
        " ten seconds. Mended.",
    ),
    *(
        Regression(
            seed,
            SIZES,
            "The check of backoffs took the caller's daemon for the sender of"
            " a request. Mended.",
        )
        for seed in (46003, 46005)
    ),
    *(
        Regression(seed, SIZES, "A daemon stood still for 3 s: open.")
        for seed in (7017, 7058)
    ),
)
