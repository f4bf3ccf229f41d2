"""HTTP client for plain services."""

import eventlet
import urllib3

from citronvalve.connections import pool as pool_
from citronvalve.model import clock
from citronvalve.upstreams import engineclient
from citronvalve.upstreams import failure
from citronvalve.upstreams import httperror
from citronvalve.upstreams import plainrequest
from citronvalve.upstreams import pools

#: In bytes.  Larger responses are rejected; many of them at once would
#: exhaust the daemon's memory.
MAX_RESPONSE_SIZE = 8 * 1024 * 1024

_DEFAULT_CONTENT_TYPE = "application/octet-stream"


class PlainClient:
    """Sends requests to plain services and reads complete responses.

    :param connections: the connection pools.
    """

    def __init__(self, connections: pools.Pools) -> None:
        self._pools = connections

    def send(
        self, address: str, request: plainrequest.PlainRequest
    ) -> plainrequest.PlainResponse | failure.Failure:
        """Send a request once, without retries.

        :param address: host:port of the upstream.
        :param request: what to send.
        :return: the complete response, or why there is none.
        """
        pool = self._pools.get(address)
        own_pool = None
        if request.new_connection:
            pool = own_pool = pool_.ConnectionPool(pool.host, pool.port)
        try:
            # The library's timeout applies to each receive: a service that
            # sends a byte now and then would block its caller forever.
            with eventlet.Timeout(request.timeout / clock.SECOND):
                on_answer = self._pools.on_sending(address)
                response = _open(pool, request)
                on_answer(response.headers, response.status)
                return _read_response(response, address)
        except eventlet.Timeout:
            self._pools.drop(address)
            return failure.Failure(
                failure.FailureKind.SILENT,
                f"no complete response within {request.timeout} ms",
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
    pool: pool_.ConnectionPool, request: plainrequest.PlainRequest
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
            failure.FailureKind.REFUSED,
            "the service refused the request",
            address,
        )
    content_type = response.headers.get("Content-Type", _DEFAULT_CONTENT_TYPE)
    return plainrequest.PlainResponse(response.status, content_type, body)


def _find_defect(response: urllib3.BaseHTTPResponse, body: bytes) -> str:
    """Return why a response is unusable, or an empty string.

    When reading with a limit, the library treats the end of the connection
    as the end of the body: a truncated certificate would look complete.
    """
    if len(body) > MAX_RESPONSE_SIZE:
        return "the response is too large"
    if response.length_remaining:
        return f"the response lacks {response.length_remaining} bytes"
    if response.length_remaining is None and not response.chunked:
        return "the response has neither Content-Length nor chunked encoding"
    return ""
