"""Tells whether two requests are the same request, sent again."""

import hashlib

# Separates these digests from others of the same bytes. It is no secret: all
# daemons of a fleet have to find the same digest.
DIGEST_KEY = b"banyantiller request"
DIGEST_BYTES = 16
LENGTH_BYTES = 8


class Fingerprint:
    """A digest of what stays the same when a request is sent again.

    That is method, host, target, caller and body. What a caller renews with
    each sending, such as an identity or a deadline, is no part of it, and
    neither is how the body was cut into pieces. A caller is who it
    says in its own field: the address that it sends from may be another one
    each time, and no server gets to see it.
    """

    __slots__ = ("_digest",)

    def __init__(
        self, method: bytes, host: bytes, target: bytes, caller: bytes
    ) -> None:
        """Begins with what is known before the body.

        Args:
            method: HTTP method.
            host: Value of Host. Its port counts for nothing: daemons may listen
                on different ones.
            target: Path and query.
            caller: What it says of who sends it, such as its key, or empty.
        """
        self._digest = hashlib.blake2b(key=DIGEST_KEY, digest_size=DIGEST_BYTES)
        for part in (method, _normalize_host(host), target, caller):
            self._digest.update(len(part).to_bytes(LENGTH_BYTES, "big"))
            self._digest.update(part)

    def update(self, part: bytes) -> None:
        """Adds the next piece of the body."""
        self._digest.update(part)

    def hexdigest(self) -> str:
        """Returns the digest of what was added so far, in hex."""
        return self._digest.hexdigest()


def _normalize_host(host: bytes) -> bytes:
    """Returns a host in lower case, without its port."""
    name, separator, port = host.rpartition(b":")
    has_port = bool(separator) and (port.isdigit() or not port)
    return (name if has_port else host).lower()
