"""`banyantiller keys`: makes a key pair of an operator."""

import os
import re

from banyantiller import exceptions
from banyantiller.bundle import signing
from banyantiller.commands import output
from banyantiller.config.defaults import NAME_PATTERN

PRIVATE_MODE = 0o600


def keys(operator: str, *, directory: str = ".", json: bool = False) -> int:
    """Makes an Ed25519 key pair.

    Writes OPERATOR.key, which only its owner can read, and prints the entry
    for the trusted keys. An existing key file is never overwritten.

    Args:
        operator: Name of the operator.
        directory: Where the key file is written.
        json: Print JSON for programs.
    """
    if not re.fullmatch(NAME_PATTERN, operator):
        raise exceptions.ConfigError(
            f"'{operator}' does not match the form {NAME_PATTERN}."
        )
    pair = signing.KeyPair.generate()
    path = os.path.join(directory, f"{operator}.key")
    _write_private(path, pair.private)
    entry = f'- {{name: {operator}, public_key: "{pair.public}"}}'
    output.emit(
        json,
        {"operator": operator, "key_file": path, "public_key": pair.public},
        [f"Wrote {path}. Add to trusted_keys:", f"  {entry}"],
    )
    return 0


def _write_private(path: str, private: str) -> None:
    flags = os.O_WRONLY | os.O_CREAT | os.O_EXCL
    try:
        file = os.open(path, flags, PRIVATE_MODE)
    except OSError as error:
        raise exceptions.ConfigError(
            f"'{path}' cannot be written: {error.strerror}."
        ) from error
    with os.fdopen(file, "w") as writer:
        writer.write(f"{private}\n")
