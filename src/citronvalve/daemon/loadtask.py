"""Keeps the load reports of upstreams fresh."""

import eventlet

from citronvalve.entry import view as views
from citronvalve.model import clock
from citronvalve.model import declared
from citronvalve.model import load
from citronvalve.upstreams import loadclient

_EVERY: clock.Ms = 500


class LoadTask:
    """Asks each upstream of its data centre, all at once, in a period.

    :param view: takes the reports.
    :param client: asks the upstreams.
    """

    def __init__(
        self, view: views.View, client: loadclient.LoadClient
    ) -> None:
        self._view = view
        self._client = client
        # An upstream that hangs delays the reports of no other.
        self._pool = eventlet.GreenPool(256)

    def run(self) -> None:
        """Ask for ever."""
        while True:
            self.step()
            eventlet.sleep(_EVERY / clock.SECOND)

    def step(self) -> None:
        """Ask every upstream once and wait for the answers."""
        table = self._view.table
        if not table:
            return
        upstreams = list(table.upstream_by_name.values())
        for report in self._pool.imap(self._ask, upstreams):
            if isinstance(report, load.LoadReport):
                self._view.load_by_upstream[report.upstream] = report

    def _ask(self, upstream: declared.Upstream) -> object:
        return self._client.report(upstream.name, upstream.address)
