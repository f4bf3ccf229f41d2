"""Values of rows as any program may have written them."""

from typing import Any

import msgspec

from citronvalve.model import decoding

#: The only field of the value that stands for one that can't be used; it says
#: why.  No decoder accepts it.
UNREADABLE = "unreadable"

#: Nesting up to which a value can be sent in a message of other values.
_MAX_DEPTH = 200

#: What encoding a message raises: nesting that is too deep, or a number
#: beyond 64 bits.
_ENCODING_ERRORS = (*decoding.ERRORS, OverflowError, ValueError, TypeError)


def decode(data: bytes) -> dict[str, Any]:
    """Return the value of a row, or one that says why it can't be used.

    :param data: JSON.
    """
    try:
        value = msgspec.json.decode(data)
    except decoding.ERRORS as error:
        return {UNREADABLE: f"{type(error).__name__}: {error}"}
    return check(value)


def _is_deeper(value: Any, most: int) -> bool:
    """Return whether a value is nested more deeply than some levels."""
    level = [value]
    for _ in range(most):
        level = [
            inner
            for outer in level
            for inner in (outer.values() if isinstance(outer, dict) else outer)
            if isinstance(inner, dict | list)
        ]
        if not level:
            return False
    return True


def check(value: Any) -> dict[str, Any]:
    """Return a decoded value, or one that says why it can't be used.

    :param value: of a row.
    """
    if not isinstance(value, dict):
        return {UNREADABLE: f"expected an object, got {type(value).__name__}"}
    if _is_deeper(value, _MAX_DEPTH):
        return {UNREADABLE: "nested too deeply"}
    try:
        msgspec.msgpack.encode(value)
    except _ENCODING_ERRORS as error:
        return {UNREADABLE: f"{type(error).__name__}: {error}"}
    return value
