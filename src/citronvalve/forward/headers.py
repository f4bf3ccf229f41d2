"""Selection of the headers that are forwarded."""

from collections.abc import Iterable

#: A header as h11 returns it: name in lower case, value.
Header = tuple[bytes, bytes]

#: Headers that concern one connection, or framing, which is made anew on each
#: connection: a copied length or transfer coding could hide a second request.
_HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"content-length",
        b"expect",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)


def value(headers: Iterable[Header], name: bytes) -> bytes:
    """Return the first value of a header, or no bytes.

    :param headers: names in lower case.
    :param name: in lower case.
    """
    return find(headers, name) or b""


def find(headers: Iterable[Header], name: bytes) -> bytes | None:
    """Return the first value of a header, None if it is absent.

    :param headers: names in lower case.
    :param name: in lower case.
    """
    for given, content in headers:
        if given == name:
            return content
    return None


def end_to_end(
    headers: Iterable[Header], dropped: frozenset[bytes] = frozenset()
) -> list[Header]:
    """Return the end-to-end headers, which are forwarded.

    :param headers: as received.
    :param dropped: further names to drop, with dash or underscore.
    """
    received = list(headers)
    connection_options = {
        token.strip().lower()
        for name, content in received
        if name == b"connection"
        for token in content.split(b",")
    }
    excluded = _HOP_BY_HOP | dropped | connection_options
    return [
        (name, content)
        for name, content in received
        # Some servers read an underscore as a dash, so such a name could
        # replace one that only the daemon may set.
        if name.replace(b"_", b"-") not in excluded
    ]


def parse_number(text: bytes) -> int | None:
    """Return a non-negative integer, or None.

    :param text: a header's value.
    """
    text = text.strip()
    return int(text) if text.isdigit() and len(text) <= 18 else None
