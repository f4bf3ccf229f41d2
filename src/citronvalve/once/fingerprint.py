"""The digest that binds a key to one request."""

import hashlib

_LENGTH_BYTES = 8


def digest(method: str, path: str, body: bytes) -> str:
    """Return the hex digest of a request.

    Each part is prefixed with its length, so that different requests never
    hash the same bytes.

    :param method: HTTP method.
    :param path: path with query string.
    :param body: complete body.
    """
    hashed = hashlib.sha256()
    for part in (method.encode(), path.encode(), body):
        hashed.update(len(part).to_bytes(_LENGTH_BYTES))
        hashed.update(part)
    return hashed.hexdigest()
