"""Digests of the access keys by which organisations identify themselves.

Daemons compare, store and exchange only digests, so that no key can reach a
server, a log or another daemon. The keys are long random texts, for which a
digest without a salt can't be reversed.
"""

import hashlib
from collections.abc import Sequence


def digest(key: bytes) -> str:
    """Returns the digest of a key."""
    return hashlib.sha256(key).hexdigest()


def digest_of_field(values: Sequence[str]) -> str:
    """Returns the digest of the key in a header field, or an empty text.

    A field that is empty or occurs more than once identifies no organisation.

    Args:
        values: Values of all occurrences of the field, decoded as Latin-1.
    """
    if len(values) != 1 or not values[0]:
        return ""
    return digest(values[0].encode("latin-1"))
