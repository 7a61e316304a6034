"""Keeps the cyclic garbage collector from delaying calls.

Calls leave no reference cycles, so reference counting frees them immediately. A
full collection would only traverse long-lived objects, for tens of
milliseconds.
"""

import gc

GEN0_THRESHOLD = 50_000
GEN1_THRESHOLD = 50
GEN2_THRESHOLD = 100


def tune() -> None:
    """Freezes existing objects and makes collections rare.

    Must be called once, after startup and before the process serves.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(GEN0_THRESHOLD, GEN1_THRESHOLD, GEN2_THRESHOLD)
