"""A message that can't be used."""

from citronvalve.model import missing


class InvalidMessage(missing.Missing):
    """Dropped and counted; the reason names what was wrong."""

    __slots__ = ()
