"""Which headers cross from one connection to another."""

from collections.abc import Iterable

#: A header as h11 gives it: name in lower case, value.
Header = tuple[bytes, bytes]

#: They concern one connection only, or are framing, which each side makes
#: itself: a copied length or transfer coding could hide a second request.
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
    """Return the first value of a header, or nothing.

    :param headers: names in lower case.
    :param name: in lower case.
    """
    for given, content in headers:
        if given == name:
            return content
    return b""


def end_to_end(
    headers: Iterable[Header], dropped: frozenset[bytes] = frozenset()
) -> list[Header]:
    """Return the headers that are passed on.

    :param headers: as received.
    :param dropped: further names that stay behind, in any spelling.
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
        # stand in for one that only the system may set.
        if name.replace(b"_", b"-") not in excluded
    ]


def parse_number(text: bytes) -> int | None:
    """Return a whole number that is not negative, or None.

    :param text: a header's value.
    """
    text = text.strip()
    return int(text) if text.isdigit() and len(text) <= 18 else None
