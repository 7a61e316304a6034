"""Keeps the cyclic garbage collector out of the way of calls.

Calls leave no reference cycles behind, so that counting references frees
them at once. A full collection would only walk over long-lived objects, for
tens of milliseconds.
"""

import gc

GEN0_THRESHOLD = 50_000
GEN1_THRESHOLD = 50
GEN2_THRESHOLD = 100


def tune() -> None:
    """Exempts what exists now from collection and makes it rare.

    To be called once, when the process has started and before it serves.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(GEN0_THRESHOLD, GEN1_THRESHOLD, GEN2_THRESHOLD)
