"""A message that can't be used."""

from citronvalve.model import missing


class Junk(missing.Missing):
    """Dropped and counted; the reason names what was wrong."""

    __slots__ = ()
