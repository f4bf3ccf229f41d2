"""What an error of the HTTP library says about the work."""

import urllib3

from citronvalve.upstreams import failure

#: The most specific first: the library derives some from others.
_KIND_BY_ERROR: tuple[tuple[type[Exception], failure.FailureKind], ...] = (
    (urllib3.exceptions.NewConnectionError, failure.FailureKind.UNREACHED),
    (urllib3.exceptions.ConnectTimeoutError, failure.FailureKind.UNREACHED),
    (urllib3.exceptions.TimeoutError, failure.FailureKind.SILENT),
    (Exception, failure.FailureKind.BROKEN),
)

#: What a call may raise; all else is a mistake of ours.
ERRORS = (urllib3.exceptions.HTTPError, OSError, ValueError)


def classify(error: Exception, address: str) -> failure.Failure:
    """Turn an error into what it means for the request.

    :param error: raised by a call.
    :param where: the upstream's address.
    """
    kind = next(k for e, k in _KIND_BY_ERROR if isinstance(error, e))
    return failure.Failure(kind, str(error), address)
