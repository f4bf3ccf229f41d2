"""The error tree: each error carries where it arose, why, and the remedy."""


class CitronvalveError(Exception):
    """Base of every error raised on purpose.

    :param why: what is wrong, with the value seen.
    :param where: file and path, row and column, or address.
    :param remedy: what the reader can do about it.
    """

    def __init__(
        self, reason: str, *, where: str = "", remedy: str = ""
    ) -> None:
        super().__init__(reason)
        self.reason = reason
        self.where = where
        self.remedy = remedy

    def __str__(self) -> str:
        place = f"{self.where}: " if self.where else ""
        remedy = f" ({self.remedy})" if self.remedy else ""
        return f"{place}{self.reason}{remedy}"


class SettingsError(CitronvalveError):
    """The settings file can't be used."""


class TableError(CitronvalveError):
    """A row of the operators' table is wrong."""


class RequestError(CitronvalveError):
    """A caller's request is malformed; it was not run."""


class UpstreamError(CitronvalveError):
    """An upstream failed or broke its protocol."""


class PeerError(CitronvalveError):
    """A message of another daemon can't be used."""


class MissingValueError(CitronvalveError):
    """A missing value was used as if it were there."""


class InvariantError(CitronvalveError):
    """A promise of the system was about to be broken; the act is refused."""
