"""Compact counts of durations for summaries.

Each power of two has eight buckets. Recording to an HDR histogram takes about
3 microseconds a call in CPython, which is too slow for the data path in
addition to the histogram of the metrics. Computing a bucket number takes a
fraction of that.
"""

from collections.abc import Mapping

SUB_BUCKETS = 8
SUB_BITS = 3
US_PER_SECOND = 1_000_000


def bucket_of(duration_s: float) -> int:
    """Returns the bucket of a duration; longer ones get no lower number."""
    micros = int(duration_s * US_PER_SECOND)
    if micros < SUB_BUCKETS:
        return max(micros, 0)
    shift = micros.bit_length() - SUB_BITS - 1
    return (shift << SUB_BITS) + (micros >> shift)


def upper_s(bucket: int) -> float:
    """Returns the exclusive upper bound of a bucket, in seconds."""
    if bucket < SUB_BUCKETS:
        return (bucket + 1) / US_PER_SECOND
    shift = (bucket >> SUB_BITS) - 1
    mantissa = bucket - (shift << SUB_BITS)
    return ((mantissa + 1) << shift) / US_PER_SECOND


def percentile_s(counts: Mapping[str, int], percent: float) -> float | None:
    """Returns an upper bound of a percentile, in seconds.

    Args:
        counts: Calls by bucket number, as decimal text.
        percent: From 0 to 100.

    Returns:
        The upper bound, or None if there are no calls.
    """
    total = sum(counts.values())
    if not total:
        return None
    target = total * percent / 100
    counted = 0
    for bucket in sorted(counts, key=int):
        counted += counts[bucket]
        if counted >= target:
            return upper_s(int(bucket))
    return None
