"""The engines' order interface over HTTP."""

from collections.abc import Callable
from collections.abc import Iterable
from typing import Any

import msgspec
import urllib3

from citronvalve.groups import accepted
from citronvalve.groups import engineload
from citronvalve.groups import engines
from citronvalve.groups import refused
from citronvalve.groups import wire
from citronvalve.model import clock
from citronvalve.model import missing

#: A read-back that takes longer counts as silence; two of them in a row,
#: with the poll of a second, stay within the 3 s of detection.
_READ_TIMEOUT: clock.Ms = 500
#: An order is given up well before the bound that a new holder waits.
_ORDER_TIMEOUT: clock.Ms = 1_500
#: Names of 8 to 64 VMs fit many times; more is not an engine's answer.
_LARGEST = 65_536
#: One for read-backs and one for orders, which run side by side.
_KEPT = 2
_POOLS = 2_048

_LOST = (urllib3.exceptions.HTTPError, OSError, ValueError)
_NOT_SENT = urllib3.exceptions.NewConnectionError


class _BadAnswerError(ValueError):
    """The answer is not of this interface."""


class HttpEngines(engines.Engines):
    """Asks engines by ``urllib3``; many side by side.

    :param each: ``map`` or a way to run it side by side.
    """

    def __init__(self, each: Callable[..., Iterable] = map) -> None:
        self._each = each
        self._pools = urllib3.PoolManager(
            num_pools=_POOLS, maxsize=_KEPT, retries=False
        )

    def order(self, address: str, given: engines.Order) -> engines.Answer:
        url = f"http://{address}/orders"
        body = wire.write(given)
        return self._call("POST", url, _ORDER_TIMEOUT, self._answer, body)

    def holding(self, address: str) -> engines.Held:
        url = f"http://{address}/holding"
        return self._call("GET", url, _READ_TIMEOUT, self._holding)

    def load(
        self, address: str
    ) -> engineload.EngineLoad | missing.Unavailable | missing.AnswerLost:
        url = f"http://{address}/load"
        return self._call("GET", url, _READ_TIMEOUT, self._load)

    def holdings(self, addresses: Iterable[str]) -> dict[str, engines.Held]:
        asked = list(dict.fromkeys(addresses))
        return dict(zip(asked, self._each(self.holding, asked), strict=True))

    def orders(
        self, given: Iterable[engines.Given]
    ) -> tuple[engines.Answer, ...]:
        return tuple(self._each(lambda pair: self.order(*pair), given))

    def _call(
        self,
        method: str,
        url: str,
        span: clock.Ms,
        read: Callable[[int, bytes], Any],
        body: bytes | None = None,
    ) -> Any:
        try:
            response = self._pools.urlopen(
                method,
                url,
                body=body,
                redirect=False,
                timeout=urllib3.Timeout(total=span / clock.SECOND),
                preload_content=False,
            )
            found = response.read(_LARGEST + 1)
            response.release_conn()
            if len(found) > _LARGEST:
                raise _BadAnswerError(f"more than {_LARGEST} bytes")
            return read(response.status, found)
        except _NOT_SENT as error:
            return missing.Unavailable(str(error), url)
        except (*_LOST, msgspec.MsgspecError) as error:
            return missing.AnswerLost(str(error), url)

    @staticmethod
    def _answer(status: int, body: bytes) -> Any:
        if status not in (200, 409):
            raise _BadAnswerError(f"status {status}")
        read = msgspec.json.decode(body, type=wire.WireAnswer)
        if read.accepted and read.holding:
            return accepted.Accepted(wire.read_holding(read.holding))
        return refused.Refused(read.fence)

    @staticmethod
    def _holding(status: int, body: bytes) -> Any:
        if status != 200:
            raise _BadAnswerError(f"status {status}")
        read = msgspec.json.decode(body, type=wire.WireHolding)
        return wire.read_holding(read)

    @staticmethod
    def _load(status: int, body: bytes) -> Any:
        if status != 200:
            raise _BadAnswerError(f"status {status}")
        return wire.read_load(body)
