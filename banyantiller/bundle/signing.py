"""Ed25519 keys of operators and their signatures of manifests."""

from typing import NamedTuple

from cryptography.exceptions import InvalidSignature
from cryptography.hazmat.primitives.asymmetric import ed25519

from banyantiller.bundle import canonical
from banyantiller.bundle.manifest import Manifest, Signature

PROPOSE = "propose"
SIGN = "sign"


class KeyPair(NamedTuple):
    """A key pair as hex digits.

    Attributes:
        private: 32 bytes as 64 hex digits; must be kept secret.
        public: 32 bytes as 64 hex digits.
    """

    private: str
    public: str

    @classmethod
    def generate(cls) -> "KeyPair":
        """Generates a new key pair."""
        return cls.from_private(
            ed25519.Ed25519PrivateKey.generate().private_bytes_raw().hex()
        )

    @classmethod
    def from_private(cls, private: str) -> "KeyPair":
        """Derives the public key.

        Raises:
            ValueError: The text is not 64 hex digits.
        """
        key = ed25519.Ed25519PrivateKey.from_private_bytes(
            bytes.fromhex(private)
        )
        return cls(private, key.public_key().public_bytes_raw().hex())


def sign(
    private: str, operator: str, role: str, manifest: Manifest
) -> Signature:
    """Signs a manifest in a role.

    Raises:
        ValueError: The private key is not 64 hex digits.
    """
    key = ed25519.Ed25519PrivateKey.from_private_bytes(bytes.fromhex(private))
    value = key.sign(_signed_bytes(role, manifest))
    return Signature(operator, role, value.hex())


def is_valid(public: str, signature: Signature, manifest: Manifest) -> bool:
    """Returns whether a signature of a manifest was made with a key."""
    try:
        key = ed25519.Ed25519PublicKey.from_public_bytes(bytes.fromhex(public))
        key.verify(
            bytes.fromhex(signature.value),
            _signed_bytes(signature.role, manifest),
        )
    except (InvalidSignature, ValueError):
        return False
    return True


def _signed_bytes(role: str, manifest: Manifest) -> bytes:
    return role.encode() + b"\0" + canonical.encode_manifest(manifest)
