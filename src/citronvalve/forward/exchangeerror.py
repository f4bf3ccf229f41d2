"""Failures of an exchange with an upstream."""

import enum

from citronvalve.model import clock
from citronvalve.model import errors


class ExchangeFailure(enum.StrEnum):
    """How an exchange failed; after the first four, nothing was sent."""

    UNREACHED = "unreached"
    REFUSED = "refused"
    #: Neither this VM nor another daemon that relays has a link.
    NO_LINK = "no link"
    #: No link, and the upstream wants no request from those that relay.
    RESTING = "resting"
    #: Its head was not read in time, so nothing can have run.
    UNSENT = "unsent"
    #: The request was not read whole in time; it may have run.
    SLOW = "slow"
    #: Closed or reset; a request that was sent may have run.
    BROKEN = "broken"
    SILENT = "silent"
    GARBLED = "garbled"
    #: Another upstream of the same request has answered meanwhile.
    OVERTAKEN = "overtaken"


class ExchangeError(errors.UpstreamError):
    """The exchange failed.

    :param failure: its kind.
    :param why: the cause, as text.
    :param rest: ms for which a resting upstream wants no request.
    """

    def __init__(
        self, failure: ExchangeFailure, why: str, rest: clock.Ms = 0
    ) -> None:
        super().__init__(
            why, remedy="retry at another upstream if the request is retryable"
        )
        self.failure = failure
        self.rest = rest
