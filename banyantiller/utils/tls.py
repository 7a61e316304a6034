"""TLS contexts from the files that settings name."""

import ssl

from banyantiller import exceptions
from banyantiller.config import defaults


def server_context(
    files: defaults.TlsFiles, verify_clients: bool = False
) -> ssl.SSLContext:
    """Returns the context of a listening side.

    Args:
        files: Certificate and key, and trust when clients are verified.
        verify_clients: Whether the other side must present a certificate
            that the trust file vouches for.

    Raises:
        ConfigError: A file is missing or not valid.
    """
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    _load(context, files)
    if verify_clients:
        context.verify_mode = ssl.CERT_REQUIRED
    return context


def client_context(files: defaults.TlsFiles) -> ssl.SSLContext:
    """Returns the context of a connecting side.

    The other side's certificate must be vouched for by the trust file, and
    must carry `files.server_name` unless that is empty.

    Args:
        files: Trust, and a certificate and key if the other side asks.

    Raises:
        ConfigError: A file is missing or not valid.
    """
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.check_hostname = bool(files.server_name)
    _load(context, files)
    return context


def _load(context: ssl.SSLContext, files: defaults.TlsFiles) -> None:
    try:
        if files.certificate:
            context.load_cert_chain(files.certificate, files.key or None)
        if files.trust:
            context.load_verify_locations(files.trust)
    except (OSError, ssl.SSLError) as error:
        raise exceptions.ConfigError(
            f"TLS files could not be loaded: {error}."
        ) from error
