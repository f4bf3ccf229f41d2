"""Placement by the fewest own requests; no queue, no limits."""

import collections

from citronvalve.entry import dispatch as dispatches
from citronvalve.entry import environment as environments
from citronvalve.entry import view as views
from citronvalve.entry import work as works
from citronvalve.model import clock
from citronvalve.model import declared
from citronvalve.model import refusal
from citronvalve.upstreams import ask

_RETRY_AFTER: clock.Ms = 1_000
_STALE: clock.Ms = 3_000


class FirstFit(dispatches.Dispatch):
    """Takes the upstream with the fewest requests of this daemon.

    :param env: the daemon's environment.
    :param view: the table and the loads.
    """

    def __init__(
        self, env: environments.Environment, view: views.View
    ) -> None:
        self._env = env
        self._view = view
        self._running: collections.Counter[str] = collections.Counter()

    def place(
        self, work: works.Work, after: ask.Ask = dispatches.FIRST
    ) -> dispatches.Placement | refusal.Refusal:
        fit = [u for u in self._fit(work) if u.name not in after.never]
        # One that failed may be the only one left, and better by now.
        fit = [u for u in fit if u.name not in after.avoid] or fit
        if not fit:
            return _nowhere(work)
        chosen = min(fit, key=lambda u: (self._running[u.name], u.name))
        self._running[chosen.name] += 1
        return dispatches.Placement(
            work,
            chosen.name,
            chosen.address,
            self._view.fence(chosen.name),
        )

    def release(
        self, placement: dispatches.Placement, ending: dispatches.Ending
    ) -> None:
        self._running[placement.upstream] -= 1

    def _fit(self, work: works.Work) -> list[declared.Upstream]:
        table = self._view.table
        if not table:
            return []
        return [
            upstream
            for upstream in self._view.upstreams()
            if work.target in upstream.serves
            and upstream.state is declared.Service.IN
            and self._alive(upstream)
            and self._in(table, upstream.datacentre)
        ]

    def _in(self, table: declared.Declared, name: str) -> bool:
        place = table.datacentre_by_name.get(name)
        return place is not None and place.state is declared.Service.IN

    def _alive(self, upstream: declared.Upstream) -> bool:
        report = self._view.load_by_upstream.get(upstream.name)
        if report is None or report.vms_missing:
            return False
        return self._env.clock.now() - report.seen_at <= _STALE


def _nowhere(work: works.Work) -> refusal.Refusal:
    return refusal.Refusal(
        refusal.RefusalKind.NO_UPSTREAM,
        f"no upstream that serves {work.target!r} is in service",
        "send it again later",
        retry_after=_RETRY_AFTER,
    )
