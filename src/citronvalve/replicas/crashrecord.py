"""Stored record of the contents of requests that crash upstreams."""

from typing import Any

import msgspec

from citronvalve.model import clock
from citronvalve.model import decoding
from citronvalve.policy import crashevidence
from citronvalve.replicas import lease as leases
from citronvalve.storage import rows
from citronvalve.storage import tableservice

KEY = "crashes"
_FIELD = "losses"

#: Content, start, model, age in ms, whether the answer had begun.
_Losses = list[tuple[int, int, int, int, bool]]


class CrashRecord:
    """Writes what the leader knows, for daemons that all start together.

    It lies beside the rows of the daemons, which each one reads as it starts.

    :param service: the table service.
    :param lease: the leader lease.
    :param time_source: the clock.
    """

    def __init__(
        self,
        service: tableservice.TableService,
        lease: leases.Lease,
        time_source: clock.Clock,
    ) -> None:
        self._service = service
        self._lease = lease
        self._clock = time_source
        self._written: frozenset[crashevidence.Loss] = frozenset()

    def write(self, losses: frozenset[crashevidence.Loss]) -> None:
        """Write losses that differ from the last ones, if this daemon leads.

        A write that fails is repeated with the next call.

        :param losses: of the contents that are fenced.
        """
        if losses == self._written or not self._lease.is_renewed:
            return
        now = self._clock.now()
        value = {
            _FIELD: [
                (*loss[:3], now - loss.at, loss.begun)
                for loss in sorted(losses)
            ]
        }
        done = self._service.commit(
            rows.Transaction(
                KEY,
                (self._lease.condition,),
                (rows.Write(leases.TABLE, KEY, value if losses else None),),
            )
        )
        if isinstance(done, rows.Committed):
            self._written = losses


def parse(value: dict[str, Any], now: clock.Ms) -> crashevidence.Evidence:
    """Return the losses of a row; none if it can't be read.

    Clocks of two starts can't be compared, so that their ages are those of
    when they were written.

    :param value: the row's.
    :param now: monotonic ms.
    """
    try:
        found = msgspec.convert(value.get(_FIELD), _Losses)
    except decoding.ERRORS:
        return crashevidence.Evidence()
    return crashevidence.Evidence(
        tuple(
            crashevidence.Loss(content, start, model, now - age, begun)
            for content, start, model, age, begun in found
        )
    )
