"""TLS contexts from the files that settings name; no other module builds one.

The other side's certificate is always verified when it shows one:

- A listening side asks for a certificate exactly when a trust file is named.
- A connecting side trusts the authorities of the trust file, or those of the
  system when none is named. It also checks that the certificate is for
  `server_name`, or for the IP number that it connects to.
"""

import ssl

from banyantiller import exceptions
from banyantiller.config import defaults

PROTOCOLS = ["http/1.1"]


def server_context(
    files: defaults.TlsFiles | None,
) -> ssl.SSLContext | None:
    """Returns the context of a listening side, or None without TLS.

    Args:
        files: Certificate and key, and trust if the other side has to show a
            certificate.

    Raises:
        ConfigError: A file is missing or not valid.
    """
    if files is None:
        return None
    if not files.certificate:
        raise exceptions.ConfigError(
            "TLS on a listening side needs a certificate."
        )
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
    """Returns the context of a connecting side, or None without TLS.

    Args:
        files: Trust and the expected name, and a certificate and key if the
            other side asks for them.
        check_address: Whether, without a `server_name`, the certificate must
            be for the IP number. Without both, anyone whom the trust file
            vouches for is accepted, so a trust file must be named.

    Raises:
        ConfigError: A file is missing or not valid.
    """
    if files is None:
        return None
    is_named = bool(files.server_name) or check_address
    if not is_named and not files.trust:
        raise exceptions.ConfigError(
            "TLS without a trust file needs the name of the other side."
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
            f"TLS files could not be loaded: {error}."
        ) from error
