"""Brings the table, loads and time to the decisions."""

import eventlet

from citronvalve.daemon import policydispatch as decideds
from citronvalve.daemon import policysync
from citronvalve.entry import environment as environments
from citronvalve.entry import view as views
from citronvalve.model import clock
from citronvalve.model import declared
from citronvalve.model import errors
from citronvalve.model import load
from citronvalve.policy import dispatcher

#: Work that a report or the passing of time makes possible waits for at
#: most this long.
_STEP_INTERVAL: clock.Ms = 50


class DispatcherTask:
    """Feeds the dispatcher in a short period.

    :param env: the daemon's environment.
    :param view: the table and the loads.
    :param decides: the policy.
    :param decided: hands decisions to the handlers.
    :param shares: agrees with the peers.
    """

    def __init__(
        self,
        env: environments.Environment,
        view: views.View,
        policy: dispatcher.Dispatcher,
        dispatch: decideds.PolicyDispatch,
        policy_sync: policysync.PolicySync,
    ) -> None:
        self._env = env
        self._view = view
        self._policy = policy
        self._dispatch = dispatch
        self._policy_sync = policy_sync
        self._applied: tuple[int, tuple[declared.Upstream, ...]] = (0, ())

    def run(self) -> None:
        """Feed for ever."""
        while True:
            try:
                self.step()
            except errors.InvariantError as error:
                # The act was refused.  Without the next steps all that
                # waits in the queue would never get its answer.
                self._env.log.error("not decided", extra={"why": str(error)})
            eventlet.sleep(_STEP_INTERVAL / clock.SECOND)

    def step(self) -> None:
        """Bring what is new, then let the policy decide."""
        self.update()
        now = self._env.clock.now()
        self._policy_sync.step(now)
        self._dispatch.tick()

    def update(self) -> None:
        """Bring table and groups as they are now, and all loads with them.

        A group that closed is gone from the decisions at the next step.
        What was decided until then carries its fence, and its rank 0
        refuses what comes while a VM is missing.
        """
        now = self._env.clock.now()
        table = self._view.table
        if not table:
            return
        state = (table.version, self._view.serving_groups())
        if state == self._applied:
            return
        self._applied = state
        self._policy.apply_table(table, now, state[1])
        # A new upstream may have reported before it was declared.
        for report in list(self._view.load_by_upstream.values()):
            self._policy.observe(report, now)

    def on_load(self, report: load.LoadReport) -> None:
        """Bring a load report.

        :param report: the newest of its upstream.
        """
        self._policy.observe(report, self._env.clock.now())
