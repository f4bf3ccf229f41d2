"""Access to engines over HTTP."""

from collections.abc import Callable
from collections.abc import Iterable
from typing import Any

import msgspec
import urllib3

from citronvalve.connections import pool
from citronvalve.groups import accepted
from citronvalve.groups import engineload
from citronvalve.groups import engines
from citronvalve.groups import refused
from citronvalve.groups import wire
from citronvalve.model import clock
from citronvalve.model import decoding
from citronvalve.model import missing

#: Two read-backs that time out in a row, one poll of 1 s apart, stay within
#: the 3 s in which the loss of a VM must be detected.
_READ_TIMEOUT: clock.Ms = 500
#: A read-back whose timeout is noticed later tells nothing about the VM: this
#: daemon paused, and its timeout was over before it looked for the answer.
_MAX_READ_TIME: clock.Ms = 600
#: Well below ``Timing.max_order_delay``, for which a new leader waits.
_ORDER_TIMEOUT: clock.Ms = 1_500
#: Several times the size of an answer that names 64 VMs.
_MAX_ANSWER_BYTES = 65_536
#: Read-backs and queries of the load may run concurrently.
_CONNECTIONS_PER_ENGINE = 2
_MAX_POOLS = 2_048

_UNCERTAIN_ERRORS = (urllib3.exceptions.HTTPError, OSError, ValueError)


def _is_refused(error: Exception) -> bool:
    """Return whether the VM answered that nothing listens there.

    Other errors of a connection may come from this daemon or the network:
    no descriptor, port, route or name.  They tell nothing about the VM.

    :param error: raised by a call.
    """
    return isinstance(
        error, urllib3.exceptions.NewConnectionError
    ) and isinstance(error.__cause__, ConnectionRefusedError)


def _make_pools(count: int) -> pool.PoolManager:
    return pool.PoolManager(
        num_pools=count, maxsize=_CONNECTIONS_PER_ENGINE, retries=False
    )


class _BadAnswerError(ValueError):
    """The answer does not conform to the interface."""


class HttpEngines(engines.Engines):
    """Calls engines with ``urllib3``.

    Each order has a connection of its own: answers name no order, and on a
    kept connection a late second copy of one would be taken for the answer to
    the next order.

    :param map_function: ``map``, or a concurrent replacement for it.
    :param time_source: measures how long read-backs take.
    """

    def __init__(
        self,
        map_function: Callable[..., Iterable] = map,
        time_source: clock.Clock | None = None,
    ) -> None:
        self._map = map_function
        self._clock = time_source or clock.SystemClock()
        self._pools = _make_pools(_MAX_POOLS)

    def send_order(
        self, address: str, new_order: engines.Order
    ) -> engines.Answer:
        url = f"http://{address}/orders"
        body = wire.encode_order(new_order)
        own = _make_pools(1)
        try:
            return self._call(
                "POST", url, _ORDER_TIMEOUT, self._decode_answer, own, body
            )
        finally:
            own.clear()

    def read_holding(self, address: str) -> engines.ReadBack:
        url = f"http://{address}/holding"
        sent_at = self._clock.now()
        answer = self._call(
            "GET", url, _READ_TIMEOUT, self._decode_holding, self._pools
        )
        took = self._clock.now() - sent_at
        if isinstance(answer, missing.AnswerLost) and took > _MAX_READ_TIME:
            return missing.Stale(f"paused, noticed after {took} ms", url)
        return answer

    def read_load(
        self, address: str
    ) -> engineload.EngineLoad | missing.Unavailable | missing.AnswerLost:
        url = f"http://{address}/load"
        return self._call(
            "GET", url, _READ_TIMEOUT, self._decode_load, self._pools
        )

    def read_holdings(
        self, addresses: Iterable[str]
    ) -> dict[str, engines.ReadBack]:
        unique_addresses = list(dict.fromkeys(addresses))
        return dict(
            zip(
                unique_addresses,
                self._map(self.read_holding, unique_addresses),
                strict=True,
            )
        )

    def send_orders(
        self, addressed_orders: Iterable[engines.AddressAndOrder]
    ) -> tuple[engines.Answer, ...]:
        return tuple(
            self._map(lambda pair: self.send_order(*pair), addressed_orders)
        )

    def _call(
        self,
        method: str,
        url: str,
        timeout: clock.Ms,
        decode: Callable[[int, bytes], Any],
        pools: pool.PoolManager,
        body: bytes | None = None,
    ) -> Any:
        try:
            response = pools.urlopen(
                method,
                url,
                body=body,
                redirect=False,
                timeout=urllib3.Timeout(total=timeout / clock.SECOND),
                preload_content=False,
            )
            content = response.read(_MAX_ANSWER_BYTES + 1)
            response.release_conn()
            if len(content) > _MAX_ANSWER_BYTES:
                raise _BadAnswerError(f"more than {_MAX_ANSWER_BYTES} bytes")
            return decode(response.status, content)
        except (*_UNCERTAIN_ERRORS, *decoding.ERRORS) as error:
            if _is_refused(error):
                return missing.Unavailable(str(error), url)
            return missing.AnswerLost(str(error), url)

    @staticmethod
    def _decode_answer(status: int, body: bytes) -> Any:
        if status not in (200, 409):
            raise _BadAnswerError(f"status {status}")
        decoded = msgspec.json.decode(body, type=wire.WireAnswer)
        if decoded.accepted and decoded.holding:
            return accepted.Accepted(wire.decode_holding(decoded.holding))
        return refused.Refused(decoded.fence)

    @staticmethod
    def _decode_holding(status: int, body: bytes) -> Any:
        if status != 200:
            raise _BadAnswerError(f"status {status}")
        decoded = msgspec.json.decode(body, type=wire.WireHolding)
        return wire.decode_holding(decoded)

    @staticmethod
    def _decode_load(status: int, body: bytes) -> Any:
        if status != 200:
            raise _BadAnswerError(f"status {status}")
        return wire.decode_load(body)
