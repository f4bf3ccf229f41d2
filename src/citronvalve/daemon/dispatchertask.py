"""Task that passes the table, loads and time to the policy."""

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

#: Bounds how long a request waits after a load report or the passing of time
#: has made its start possible.
_STEP_INTERVAL: clock.Ms = 50


class DispatcherTask:
    """Updates the policy periodically.

    :param env: the daemon's environment.
    :param view: holds the table and the loads.
    :param policy: decides on requests.
    :param dispatch: delivers decisions to the handlers.
    :param policy_sync: exchanges shares, loans and crashes with the peers.
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
        """Run forever."""
        while True:
            try:
                self.step()
            except errors.InvariantError as error:
                # The violating action was rejected.  The loop must go on, or
                # queued requests would never be answered.
                self._env.log.error("not decided", extra={"why": str(error)})
            eventlet.sleep(_STEP_INTERVAL / clock.SECOND)

    def step(self) -> None:
        """Pass on updates, then let the policy decide."""
        self.update()
        now = self._env.clock.now()
        self._policy_sync.step(now)
        self._dispatch.tick()

    def update(self) -> None:
        """Pass on the table and groups if they changed, and all loads.

        The policy ignores a closed group from the next step on.  Requests
        placed until then carry the group's fence, and its rank 0 rejects
        requests while a VM is missing.
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
        """Pass on a load report.

        :param report: the newest report of its upstream.
        """
        self._policy.observe(report, self._env.clock.now())
