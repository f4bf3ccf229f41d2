"""Maps exceptions of the HTTP library to failures."""

import urllib3

from citronvalve.upstreams import failure

#: The first match applies; derived classes precede their bases.
_KIND_BY_ERROR: tuple[tuple[type[Exception], failure.FailureKind], ...] = (
    (urllib3.exceptions.NewConnectionError, failure.FailureKind.UNREACHED),
    (urllib3.exceptions.ConnectTimeoutError, failure.FailureKind.NOT_OPENED),
    (urllib3.exceptions.TimeoutError, failure.FailureKind.SILENT),
    (Exception, failure.FailureKind.BROKEN),
)

#: What an HTTP call may raise; any other exception is a bug.
ERRORS = (urllib3.exceptions.HTTPError, OSError, ValueError)


def classify(error: Exception, address: str) -> failure.Failure:
    """Return the failure that an exception stands for.

    :param error: raised by an HTTP call.
    :param address: host:port of the upstream.
    """
    kind = next(k for e, k in _KIND_BY_ERROR if isinstance(error, e))
    return failure.Failure(kind, str(error), address)
