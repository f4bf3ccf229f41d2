"""Calls plain services and reads their whole answers."""

import eventlet
import urllib3

from citronvalve.model import clock
from citronvalve.upstreams import engineclient
from citronvalve.upstreams import failure
from citronvalve.upstreams import httperror
from citronvalve.upstreams import plainrequest
from citronvalve.upstreams import pools

#: An answer above this is not passed on; it would fill a daemon's memory
#: when many callers ask for it at once.
MAX_RESPONSE_SIZE = 8 * 1024 * 1024

_DEFAULT_CONTENT_TYPE = "application/octet-stream"


class PlainClient:
    """Speaks to all plain services of this daemon.

    :param kept: the kept connections.
    """

    def __init__(self, connections: pools.Pools) -> None:
        self._pools = connections

    def send(
        self, address: str, request: plainrequest.PlainRequest
    ) -> plainrequest.PlainResponse | failure.Failure:
        """Carry out one call, once.

        :param address: host:port of the upstream.
        :param call: what to pass on.
        """
        pool = self._pools.get(address)
        own_pool = None
        if request.new_connection:
            pool = own_pool = urllib3.HTTPConnectionPool(pool.host, pool.port)
        try:
            # The library bounds each receive, not the whole: a service
            # that sends a byte now and then would hold its caller for ever.
            with eventlet.Timeout(request.timeout / clock.SECOND):
                return _read_response(_open(pool, request), address)
        except eventlet.Timeout:
            self._pools.drop(address)
            return failure.Failure(
                failure.FailureKind.SILENT,
                f"no whole answer within {request.timeout} ms",
                address,
            )
        except httperror.ERRORS as error:
            return self._handle_failure(
                httperror.classify(error, address), address
            )
        finally:
            if own_pool:
                own_pool.close()

    def _handle_failure(
        self, cause: failure.Failure, address: str
    ) -> failure.Failure:
        if cause.kind is failure.FailureKind.SILENT:
            self._pools.drop(address)
        return cause


def _open(
    pool: urllib3.HTTPConnectionPool, request: plainrequest.PlainRequest
) -> urllib3.BaseHTTPResponse:
    return pool.urlopen(
        request.method,
        request.path,
        body=request.body or None,
        headers=request.headers,
        retries=False,
        redirect=False,
        timeout=pools.timeout(max(1, request.timeout)),
        preload_content=False,
    )


def _read_response(
    response: urllib3.BaseHTTPResponse, address: str
) -> plainrequest.PlainResponse | failure.Failure:
    body = response.read(MAX_RESPONSE_SIZE + 1, decode_content=False)
    defect = _find_defect(response, body)
    if defect:
        response.close()
        return failure.Failure(failure.FailureKind.BROKEN, defect, address)
    response.release_conn()
    if response.status == 503 and engineclient.reports_not_run(body):
        return failure.Failure(
            failure.FailureKind.REFUSED, "the service refused it", address
        )
    content_type = response.headers.get("Content-Type", _DEFAULT_CONTENT_TYPE)
    return plainrequest.PlainResponse(response.status, content_type, body)


def _find_defect(response: urllib3.BaseHTTPResponse, body: bytes) -> str:
    """Tell why an answer can't be passed on as whole; empty if it can.

    Read with a limit, the library takes the end of the connection for the
    end of the body: half a certificate would go out as a whole one.
    """
    if len(body) > MAX_RESPONSE_SIZE:
        return "the answer is too large"
    if response.length_remaining:
        return f"the answer lacks {response.length_remaining} bytes"
    if response.length_remaining is None and not response.chunked:
        return "the answer has no length and no chunks to tell its end by"
    return ""
