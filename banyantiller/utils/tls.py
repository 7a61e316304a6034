"""TLS contexts from the files named in settings; no other module creates one.

A certificate of the remote side is always verified:

- A listener requests a client certificate if and only if a trust file is named.
- A client trusts the authorities of the trust file, or those of the system if
  none is named. It also checks that the certificate is valid for `server_name`
  or, without it, for the IP address to which it connects.
"""

import ssl

from banyantiller import exceptions
from banyantiller.config import defaults

PROTOCOLS = ["http/1.1"]


def server_context(
    files: defaults.TlsFiles | None,
) -> ssl.SSLContext | None:
    """Returns the context of a listener, or None without TLS.

    Args:
        files: Certificate and key, and a trust file if clients must present a
            certificate.

    Raises:
        ConfigError: A file is missing or not valid.
    """
    if files is None:
        return None
    if not files.certificate:
        raise exceptions.ConfigError("A TLS listener needs a certificate.")
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.set_alpn_protocols(PROTOCOLS)
    _load(context, files)
    if files.trust:
        context.verify_mode = ssl.CERT_REQUIRED
    return context


def client_context(
    files: defaults.TlsFiles | None, check_address: bool = True
) -> ssl.SSLContext | None:
    """Returns the context of a client, or None without TLS.

    Args:
        files: Trust file and expected name, and a certificate and key if the
            server requests them.
        check_address: Whether, without a `server_name`, the certificate must
            be valid for the IP address. Without both, any certificate of an
            authority in the trust file is accepted, so one must be named.

    Raises:
        ConfigError: A file is missing or not valid.
    """
    if files is None:
        return None
    is_named = bool(files.server_name) or check_address
    if not is_named and not files.trust:
        raise exceptions.ConfigError(
            "TLS without a trust file needs a server_name."
        )
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.check_hostname = is_named
    if not files.trust:
        context.load_default_certs(ssl.Purpose.SERVER_AUTH)
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
            f"Cannot load TLS files: {error}."
        ) from error
