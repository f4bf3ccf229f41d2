"""Objects that stand for a missing value and carry the reason.

Expected failures are returned as one of these instead of being raised.
Using one as a value raises :exc:`errors.MissingValueError`.
"""

from typing import Any
from typing import NoReturn

from citronvalve.model import errors


class Missing:
    """Base class; its objects are false and can't be used as values.

    :param reason: why there is no value.
    :param where: table and key, address, or name that was requested.
    """

    __slots__ = ("reason", "where")

    def __init__(self, reason: str, where: str = "") -> None:
        self.reason = reason
        self.where = where

    def __bool__(self) -> bool:
        return False

    def __repr__(self) -> str:
        return f"{type(self).__name__}({self.reason!r}, {self.where!r})"

    def _raise_error(self, *_args: Any) -> NoReturn:
        raise errors.MissingValueError(
            self.reason,
            where=self.where,
            remedy="test the value before using it",
        )

    def __getattr__(self, name: str) -> NoReturn:
        # Copying and pickling look up special names, which must be absent
        # and not count as a use of the value.
        if name.startswith("__"):
            raise AttributeError(name)
        self._raise_error()

    __getitem__ = __iter__ = __len__ = __call__ = _raise_error
    __add__ = __sub__ = __lt__ = __gt__ = __le__ = __ge__ = _raise_error


class NotFound(Missing):
    """The lookup succeeded, and the requested value does not exist."""

    __slots__ = ()


class Unavailable(Missing):
    """The request failed and certainly had no effect."""

    __slots__ = ()


class AnswerLost(Missing):
    """No usable response arrived; the request may have taken effect."""

    __slots__ = ()


class Stale(Missing):
    """There is a value, but it is too old to be used."""

    __slots__ = ()


def is_missing(value: object) -> bool:
    """Return whether a value is a :class:`Missing`.

    :param value: any object.
    """
    return isinstance(value, Missing)
