"""Values that are not there, remember why, and complain when used.

Expected failures are returned as one of these instead of being raised.
"""

from typing import Any
from typing import NoReturn

from citronvalve.model import errors


class Missing:
    """Base of the family; false, and unusable as a value.

    :param reason: why there is no value.
    :param where: table and key, address, or name looked up.
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
        # Copying and pickling probe for special names, and must see them
        # as absent rather than as a use of the value.
        if name.startswith("__"):
            raise AttributeError(name)
        self._raise_error()

    __getitem__ = __iter__ = __len__ = __call__ = _raise_error
    __add__ = __sub__ = __lt__ = __gt__ = __le__ = __ge__ = _raise_error


class NotFound(Missing):
    """Looked up, and certainly not there."""

    __slots__ = ()


class Unavailable(Missing):
    """The other side could not be asked; nothing was done there."""

    __slots__ = ()


class AnswerLost(Missing):
    """The other side may or may not have done what was asked."""

    __slots__ = ()


class Stale(Missing):
    """There is a value, but it is too old to act on."""

    __slots__ = ()


def is_missing(value: object) -> bool:
    """Tell whether a value is one of this family.

    :param value: anything.
    """
    return isinstance(value, Missing)
