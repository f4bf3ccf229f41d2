"""JSON without the values that are nested too deeply for a decoder."""

import re

#: Nesting that any decoder takes, far above that of what daemons write.
_MAX_DEPTH = 100

_TOKEN = re.compile(rb'"(?:[^"\\]|\\.)*"|[\[\]{}]')
_OPENING, _CLOSING = (b"[", b"{"), (b"]", b"}")


def cut(body: bytes) -> bytes:
    """Return JSON in which null stands for what is nested too deeply.

    :param body: JSON of any depth.
    """
    pieces: list[bytes] = []
    depth = kept_to = 0
    for token in _TOKEN.finditer(body):
        kind = token[0]
        if kind in _OPENING:
            depth += 1
            if depth == _MAX_DEPTH + 1:
                pieces.append(body[kept_to : token.start()])
        elif kind in _CLOSING:
            if depth == _MAX_DEPTH + 1:
                pieces.append(b"null")
                kept_to = token.end()
            depth -= 1
    return b"".join((*pieces, body[kept_to:]))
