"""Checks of this VM's own links: whether they are lost, and whether back."""

import eventlet

from citronvalve.forward import connectionpool
from citronvalve.forward import connector as connectors
from citronvalve.forward import directory as directories
from citronvalve.forward import environment as environments
from citronvalve.forward import exchangeerror
from citronvalve.model import clock

#: Interval between attempts to connect directly while the links are cut.
_PROBE_INTERVAL: clock.Ms = 250

#: A check that has ended answers for this time.
_CHECK_VALID: clock.Ms = 1_000


class LinkChecker:
    """Finds out whether a silence is the upstream's or the link's.

    :param env: the daemon's environment.
    :param directory: the upstreams.
    :param connector: opens connections and records what that shows.
    :param pool: keeps the connections that were opened.
    """

    def __init__(
        self,
        env: environments.Environment,
        directory: directories.Directory,
        connector: connectors.Connector,
        pool: connectionpool.ConnectionPool,
    ) -> None:
        self._env = env
        self._directory = directory
        self._connector = connector
        self._pool = pool
        self._checking: set[str] = set()
        self._checked_at_by_id: dict[str, clock.Ms] = {}

    def start(self) -> None:
        """Start the task that looks for the return of the links."""
        eventlet.spawn(self._probe_forever)

    def is_lost(self, upstream: str) -> bool:
        """Return whether the link to an upstream is lost.

        :param upstream: its id.
        """
        now = self._env.clock.now()
        return self._connector.links.is_lost(upstream, now)

    def is_doubted(self, upstream: str) -> bool:
        """Return whether a silence may be the link's; check it if so.

        :param upstream: id of the silent upstream.
        """
        now = self._env.clock.now()
        if self._connector.links.is_heard(now):
            return False
        if upstream in self._checking:
            return True
        at = self._checked_at_by_id.get(upstream)
        if at is not None and now - at < _CHECK_VALID:
            return False
        return self._start_check(upstream)

    def confirm(self, upstream: str) -> None:
        """Check another upstream, since the link to one was lost.

        :param upstream: the lost one; the other one is of this VM's data
            centre if that is not, and else of another one.
        """
        if self._connector.links.is_cut or self._checking - {upstream}:
            return
        lost = self._directory.runner_by_id.get(upstream)
        if lost is None:
            return
        here = self._env.datacentre
        is_only = len(self._directory.datacentres()) == 1
        # One loss here and one elsewhere show a cut.
        other = self._directory.sample(
            self._env.rng,
            lambda runner: (
                runner.id != upstream
                and (
                    is_only
                    or (runner.datacentre == here)
                    is not (lost.datacentre == here)
                )
            ),
        )
        if other is not None:
            self._start_check(other.id)

    def _start_check(self, upstream: str) -> bool:
        runner = self._directory.runner_by_id.get(upstream)
        if runner is None or not self._connector.relays():
            return False
        self._checking.add(upstream)
        eventlet.spawn(self._check, connectors.target_of(runner))
        return True

    def _check(self, target: connectors.Target) -> None:
        try:
            self._pool.check_listening(target)
        except exchangeerror.ExchangeError as error:
            self._env.log.change(
                "link checked", upstream=target.upstream, why=str(error)
            )
        finally:
            self._checking.discard(target.upstream)
            self._record_check(target.upstream)

    def _record_check(self, upstream: str) -> None:
        now = self._env.clock.now()
        self._checked_at_by_id = {
            other: at
            for other, at in self._checked_at_by_id.items()
            if now - at < _CHECK_VALID
        }
        self._checked_at_by_id[upstream] = now

    def _probe_forever(self) -> None:
        while True:
            eventlet.sleep(_PROBE_INTERVAL / clock.SECOND)
            if self._connector.links.is_cut:
                self._probe()

    def _probe(self) -> None:
        runner = self._directory.sample(self._env.rng)
        if runner is None:
            return
        target = connectors.target_of(runner)
        try:
            opened = self._connector.open_direct(target)
        except exchangeerror.ExchangeError:
            return
        self._pool.keep(target, opened)
