"""Reads load reports from upstreams."""

import msgspec

from citronvalve.model import clock
from citronvalve.model import decoding
from citronvalve.model import load
from citronvalve.model import missing
from citronvalve.upstreams import httperror
from citronvalve.upstreams import pools

#: A slower report would be outdated before it is used.
_TIMEOUT: clock.Ms = 800
_MAX_BODY_SIZE = 65_536


class _Report(msgspec.Struct):
    start_id: str
    running: int
    queued: int
    bears: int
    vms_missing: tuple[str, ...] = ()


class LoadClient:
    """Client for ``GET /load``.

    :param connections: the connection pools.
    :param time_source: clock for the time stamps of reports.
    """

    def __init__(
        self, connections: pools.Pools, time_source: clock.Clock
    ) -> None:
        self._pools = connections
        self._clock = time_source

    def fetch_report(
        self, upstream: str, address: str
    ) -> load.LoadReport | missing.Unavailable:
        """Fetch one report.

        :param upstream: name of the upstream.
        :param address: host:port of the upstream.
        """
        requested_at = self._clock.now()
        try:
            received = self._request(address)
        except (*httperror.ERRORS, *decoding.ERRORS) as error:
            self._pools.drop(address)
            return missing.Unavailable(str(error), f"{upstream} {address}")
        # Stamped with the time of the request: the report may have been
        # made at any moment since, and must not look newer than it is.
        return load.LoadReport(
            upstream,
            received.start_id,
            received.running,
            received.queued,
            received.bears,
            requested_at,
            received.vms_missing,
        )

    def _request(self, address: str) -> _Report:
        response = self._pools.get(address).urlopen(
            "GET",
            "/load",
            retries=False,
            redirect=False,
            timeout=pools.timeout(_TIMEOUT),
            preload_content=False,
        )
        body = response.read(_MAX_BODY_SIZE)
        response.release_conn()
        if response.status != 200:
            raise ValueError(f"status {response.status}")
        return msgspec.json.decode(body, type=_Report)
