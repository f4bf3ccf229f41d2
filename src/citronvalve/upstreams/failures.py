"""What an error of the HTTP library says about the work."""

import urllib3

from citronvalve.upstreams import trouble

#: The most specific first: the library derives some from others.
_KIND_BY_ERROR: tuple[tuple[type[Exception], trouble.TroubleKind], ...] = (
    (urllib3.exceptions.NewConnectionError, trouble.TroubleKind.UNREACHED),
    (urllib3.exceptions.ConnectTimeoutError, trouble.TroubleKind.UNREACHED),
    (urllib3.exceptions.TimeoutError, trouble.TroubleKind.SILENT),
    (Exception, trouble.TroubleKind.BROKEN),
)

#: What a call may raise; all else is a mistake of ours.
ERRORS = (urllib3.exceptions.HTTPError, OSError, ValueError)


def read(error: Exception, where: str) -> trouble.Trouble:
    """Turn an error into what it means for the request.

    :param error: raised by a call.
    :param where: the upstream's address.
    """
    kind = next(k for e, k in _KIND_BY_ERROR if isinstance(error, e))
    return trouble.Trouble(kind, str(error), where)
