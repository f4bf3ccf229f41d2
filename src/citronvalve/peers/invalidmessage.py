"""A message that can't be decoded."""

from citronvalve.model import missing


class InvalidMessage(missing.Missing):
    """Why a message is dropped; the reason is counted."""

    __slots__ = ()
