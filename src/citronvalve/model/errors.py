"""Exception hierarchy; each error has a reason, a place and a remedy."""


class CitronvalveError(Exception):
    """Base class of the project's exceptions.

    :param reason: what is wrong, with the actual value.
    :param where: file and path, row and column, or address.
    :param remedy: what the user can do about it.
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
    """The settings file is invalid or can't be read."""


class TableError(CitronvalveError):
    """A row of the operators' table is invalid."""


class RequestError(CitronvalveError):
    """A caller's request is malformed; it was not run."""


class UpstreamError(CitronvalveError):
    """An upstream failed or broke its protocol."""


class PeerError(CitronvalveError):
    """A message from another daemon is invalid."""


class MissingValueError(CitronvalveError):
    """A :class:`missing.Missing` was used as a value."""


class InvariantError(CitronvalveError):
    """An action would violate an invariant and is not carried out."""
