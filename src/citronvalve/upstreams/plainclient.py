"""Calls plain services and reads their whole answers."""

import eventlet
import urllib3

from citronvalve.model import clock
from citronvalve.upstreams import engineclient
from citronvalve.upstreams import failures
from citronvalve.upstreams import plaincall
from citronvalve.upstreams import pools
from citronvalve.upstreams import trouble

#: An answer above this is not passed on; it would fill a daemon's memory
#: when many callers ask for it at once.
LARGEST_ANSWER = 8 * 1024 * 1024

_OCTETS = "application/octet-stream"


class PlainClient:
    """Speaks to all plain services of this daemon.

    :param kept: the kept connections.
    """

    def __init__(self, kept: pools.Pools) -> None:
        self._pools = kept

    def call(
        self, address: str, call: plaincall.PlainCall
    ) -> plaincall.PlainAnswer | trouble.Trouble:
        """Carry out one call, once.

        :param address: host:port of the upstream.
        :param call: what to pass on.
        """
        pool = self._pools.of(address)
        fresh = None
        if call.fresh:
            pool = fresh = urllib3.HTTPConnectionPool(pool.host, pool.port)
        try:
            # The library bounds each receive, not the whole: a service
            # that sends a byte now and then would hold its caller for ever.
            with eventlet.Timeout(call.remaining / clock.SECOND):
                return _whole(_send(pool, call), address)
        except eventlet.Timeout:
            self._pools.drop(address)
            return trouble.Trouble(
                trouble.TroubleKind.SILENT,
                f"no whole answer within {call.remaining} ms",
                address,
            )
        except failures.ERRORS as error:
            return self._failed(failures.read(error, address), address)
        finally:
            if fresh:
                fresh.close()

    def _failed(self, met: trouble.Trouble, address: str) -> trouble.Trouble:
        if met.kind is trouble.TroubleKind.SILENT:
            self._pools.drop(address)
        return met


def _send(
    pool: urllib3.HTTPConnectionPool, call: plaincall.PlainCall
) -> urllib3.BaseHTTPResponse:
    return pool.urlopen(
        call.method,
        call.path,
        body=call.body or None,
        headers=call.headers,
        retries=False,
        redirect=False,
        timeout=pools.timeout(max(1, call.remaining)),
        preload_content=False,
    )


def _whole(
    response: urllib3.BaseHTTPResponse, address: str
) -> plaincall.PlainAnswer | trouble.Trouble:
    body = response.read(LARGEST_ANSWER + 1, decode_content=False)
    wrong = _incomplete(response, body)
    if wrong:
        response.close()
        return trouble.Trouble(trouble.TroubleKind.BROKEN, wrong, address)
    response.release_conn()
    if response.status == 503 and engineclient.says_not_run(body):
        return trouble.Trouble(
            trouble.TroubleKind.REFUSED, "the service refused it", address
        )
    kind = response.headers.get("Content-Type", _OCTETS)
    return plaincall.PlainAnswer(response.status, kind, body)


def _incomplete(response: urllib3.BaseHTTPResponse, body: bytes) -> str:
    """Tell why an answer can't be passed on as whole; empty if it can.

    Read with a limit, the library takes the end of the connection for the
    end of the body: half a certificate would go out as a whole one.
    """
    if len(body) > LARGEST_ANSWER:
        return "the answer is too large"
    if response.length_remaining:
        return f"the answer lacks {response.length_remaining} bytes"
    if response.length_remaining is None and not response.chunked:
        return "the answer has no length and no chunks to tell its end by"
    return ""
