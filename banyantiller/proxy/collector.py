"""Keeps the cyclic garbage collector out of the way of calls.

Calls leave no reference cycles behind, so that counting references frees
them at once. A full collection would only walk over long-lived objects, for
tens of milliseconds.
"""

import gc

YOUNG_OBJECTS = 50_000
YOUNG_ROUNDS = 50
MIDDLE_ROUNDS = 100


def settle() -> None:
    """Exempts what exists now from collection and makes it rare.

    To be called once, when the process has started and before it serves.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(YOUNG_OBJECTS, YOUNG_ROUNDS, MIDDLE_ROUNDS)
