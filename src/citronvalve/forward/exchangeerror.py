"""How an exchange with an upstream failed."""

import enum

from citronvalve.model import errors


class ExchangeFailure(enum.StrEnum):
    """What was seen; the first two prove that nothing was sent."""

    UNREACHED = "unreached"
    REFUSED = "refused"
    #: Closed or reset; a request that was sent may have run.
    BROKEN = "broken"
    SILENT = "silent"
    GARBLED = "garbled"


class ExchangeError(errors.UpstreamError):
    """The exchange can't go on.

    :param trouble: what was seen.
    :param why: in words.
    """

    def __init__(self, failure: ExchangeFailure, why: str) -> None:
        super().__init__(why, remedy="try another upstream if it may repeat")
        self.failure = failure
