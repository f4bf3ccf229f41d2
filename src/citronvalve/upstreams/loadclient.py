"""Asks upstreams for their load reports."""

import msgspec

from citronvalve.model import clock
from citronvalve.model import load
from citronvalve.model import missing
from citronvalve.upstreams import httperror
from citronvalve.upstreams import pools

#: A report that takes longer would be old before it is used.
_TIMEOUT: clock.Ms = 800
_MAX_BODY_SIZE = 65_536


class _Report(msgspec.Struct):
    start_id: str
    running: int
    queued: int
    bears: int
    vms_missing: tuple[str, ...] = ()


class LoadClient:
    """Reads ``GET /load`` of any upstream.

    :param kept: the kept connections.
    :param now: clock that reports are stamped by.
    """

    def __init__(
        self, connections: pools.Pools, time_source: clock.Clock
    ) -> None:
        self._pools = connections
        self._clock = time_source

    def fetch_report(
        self, upstream: str, address: str
    ) -> load.LoadReport | missing.Unavailable:
        """Read one report.

        :param upstream: its name.
        :param address: its host:port.
        """
        requested_at = self._clock.now()
        try:
            received = self._request(address)
        except (*httperror.ERRORS, msgspec.MsgspecError) as error:
            self._pools.drop(address)
            return missing.Unavailable(str(error), f"{upstream} {address}")
        # Stamped with the time of asking: the report may have been made at
        # any moment since, and must not look younger than it is.
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
