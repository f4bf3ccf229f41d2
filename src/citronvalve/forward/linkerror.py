"""How an exchange with an upstream failed."""

import enum

from citronvalve.model import errors


class LinkTrouble(enum.StrEnum):
    """What was seen; only the first proves that nothing was run."""

    UNREACHED = "unreached"
    REFUSED = "refused"
    BROKEN = "broken"
    SILENT = "silent"
    GARBLED = "garbled"


class LinkError(errors.UpstreamError):
    """The exchange can't go on.

    :param trouble: what was seen.
    :param why: in words.
    """

    def __init__(self, trouble: LinkTrouble, why: str) -> None:
        super().__init__(why, remedy="try another upstream if it may repeat")
        self.trouble = trouble
