"""Addresses as ``host:port``."""

import re
from typing import NamedTuple

from citronvalve.model import missing

_LABEL = r"[A-Za-z0-9_]([A-Za-z0-9_-]{0,61}[A-Za-z0-9_])?"
_HOST = re.compile(rf"{_LABEL}(\.{_LABEL})*\.?")
_MAX_HOST = 253

_PORT = re.compile(r"[0-9]{1,5}")
_MAX_PORT = 65_535


class HostPort(NamedTuple):
    """A host, as a name or an IPv4 address, and a port."""

    host: str
    port: int


def parse(address: str) -> HostPort | missing.NotFound:
    """Return host and port of an address, or why it can't be connected to.

    :param address: as another program wrote it.
    """
    host, _, port = address.rpartition(":")
    if len(host) > _MAX_HOST or not _HOST.fullmatch(host):
        return missing.NotFound("the address has no valid host")
    if not _PORT.fullmatch(port) or not 0 < int(port) <= _MAX_PORT:
        return missing.NotFound("the address has no port from 1 to 65535")
    return HostPort(host, int(port))
