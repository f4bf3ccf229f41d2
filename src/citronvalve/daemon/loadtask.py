"""Keeps the load reports of upstreams fresh."""

import eventlet

from citronvalve.daemon import peertask
from citronvalve.entry import view as views
from citronvalve.model import clock
from citronvalve.model import declared
from citronvalve.model import load
from citronvalve.upstreams import loadclient

_EVERY: clock.Ms = 500


class LoadTask:
    """Asks the upstreams that this daemon keeps, and tells its peers.

    :param view: shows which upstreams there are.
    :param client: asks the upstreams.
    :param peering: spreads the reports.
    """

    def __init__(
        self,
        view: views.View,
        client: loadclient.LoadClient,
        peering: peertask.PeerTask,
    ) -> None:
        self._view = view
        self._client = client
        self._peer = peering.peer
        # An upstream that hangs delays the reports of no other.
        self._pool = eventlet.GreenPool(256)

    def run(self) -> None:
        """Ask for ever."""
        while True:
            self.step()
            eventlet.sleep(_EVERY / clock.SECOND)

    def step(self) -> None:
        """Ask every kept upstream once and wait for the answers."""
        table = self._view.table
        if not table:
            return
        kept = [
            upstream
            for upstream in table.upstream_by_name.values()
            if self._peer.polls(upstream.name, upstream.datacentre)
        ]
        for report in self._pool.imap(self._ask, kept):
            if isinstance(report, load.LoadReport):
                self._peer.offer_load(report)

    def _ask(self, upstream: declared.Upstream) -> object:
        return self._client.report(upstream.name, upstream.address)
