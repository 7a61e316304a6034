"""Certificates for TLS tests, valid for the loopback address by default."""

import datetime
import ipaddress
import pathlib

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec

from banyantiller.config import defaults

LOOPBACK = "127.0.0.1"
DAY = datetime.timedelta(days=1)
PEM = serialization.Encoding.PEM


class CertificateAuthority:
    """Issues certificates and writes them to a folder.

    Attributes:
        trust: Path of the certificate of the authority.
    """

    def __init__(self, folder: str, name: str = "authority") -> None:
        self.folder = pathlib.Path(folder)
        self.key = ec.generate_private_key(ec.SECP256R1())
        self.subject = _subject(name)
        certificate = self._sign(self.subject, self.key, is_authority=True)
        self.trust = self._write(f"{name}.pem", certificate.public_bytes(PEM))

    def issue(
        self, name: str, server_name: str = "", address: str = LOOPBACK
    ) -> defaults.TlsFiles:
        """Issues a certificate for an IP address and, if given, a DNS name."""
        key = ec.generate_private_key(ec.SECP256R1())
        names: list[x509.GeneralName] = [
            x509.IPAddress(ipaddress.ip_address(address))
        ]
        if server_name:
            names.append(x509.DNSName(server_name))
        certificate = self._sign(_subject(name), key, names)
        private = key.private_bytes(
            PEM,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        )
        return defaults.TlsFiles(
            self._write(f"{name}.crt", certificate.public_bytes(PEM)),
            self._write(f"{name}.key", private),
            self.trust,
            server_name,
        )

    def _sign(
        self,
        subject: x509.Name,
        key: ec.EllipticCurvePrivateKey,
        names: list[x509.GeneralName] | None = None,
        is_authority: bool = False,
    ) -> x509.Certificate:
        now = datetime.datetime.now(datetime.UTC)
        builder = (
            x509.CertificateBuilder()
            .subject_name(subject)
            .issuer_name(self.subject)
            .public_key(key.public_key())
            .serial_number(x509.random_serial_number())
            .not_valid_before(now - DAY)
            .not_valid_after(now + DAY)
            .add_extension(x509.BasicConstraints(is_authority, None), True)
        )
        if names:
            alternatives = x509.SubjectAlternativeName(names)
            builder = builder.add_extension(alternatives, False)
        return builder.sign(self.key, hashes.SHA256())

    def _write(self, name: str, data: bytes) -> str:
        path = self.folder / name
        path.write_bytes(data)
        return str(path)


def _subject(name: str) -> x509.Name:
    return x509.Name([x509.NameAttribute(x509.NameOID.COMMON_NAME, name)])
