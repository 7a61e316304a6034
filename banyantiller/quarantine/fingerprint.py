"""Digests by which a repeated request is recognised."""

import hashlib

# Separates these digests from others of the same bytes. It is not secret: all
# daemons of a fleet must compute the same digest.
DIGEST_KEY = b"banyantiller request"
DIGEST_BYTES = 16
LENGTH_BYTES = 8


class Fingerprint:
    """A digest of the parts of a request that stay the same when it is resent.

    These are method, host, target, caller and body. Values that a caller renews
    with each sending, such as a request identifier or a deadline, are not
    included, nor is the division of the body into chunks. The caller is what
    the request's own field says: its address may differ with each sending, and
    no server sees it.
    """

    __slots__ = ("_digest",)

    def __init__(
        self, method: bytes, host: bytes, target: bytes, caller: bytes
    ) -> None:
        """Starts with what is known before the body.

        Args:
            method: HTTP method.
            host: Value of Host. Its port is ignored: daemons may listen on
                different ones.
            target: Path and query.
            caller: What the request says of its sender, such as its key, or
                empty.
        """
        self._digest = hashlib.blake2b(key=DIGEST_KEY, digest_size=DIGEST_BYTES)
        for part in (method, _normalize_host(host), target, caller):
            self._digest.update(len(part).to_bytes(LENGTH_BYTES, "big"))
            self._digest.update(part)

    def update(self, part: bytes) -> None:
        """Adds the next part of the body."""
        self._digest.update(part)

    def hexdigest(self) -> str:
        """Returns the digest of everything added so far, in hex."""
        return self._digest.hexdigest()


def _normalize_host(host: bytes) -> bytes:
    """Returns a host in lower case, without its port."""
    name, separator, port = host.rpartition(b":")
    has_port = bool(separator) and (port.isdigit() or not port)
    return (name if has_port else host).lower()
