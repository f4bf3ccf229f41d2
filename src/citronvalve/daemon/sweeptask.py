"""The task that sweeps the rows of keys whose time is over."""

import eventlet

from citronvalve.entry import environment as environments
from citronvalve.entry import view as views
from citronvalve.model import clock
from citronvalve.once import sweeper

#: Rounds come this far apart, and up to twice as far: daemons that started
#: together would otherwise sweep the same minute at the same time.
_MIN_INTERVAL: clock.Ms = 30 * clock.SECOND

#: Minutes in one round.  Eight daemons then catch up with a day that none
#: swept within half an hour.
_MAX_MINUTES_PER_ROUND = 8


class SweepTask:
    """Sweeps a few minutes' rows now and then.

    :param env: the daemon's environment.
    :param view: holds the table, which says how long keys are kept.
    :param sweep: the sweep.
    """

    def __init__(
        self,
        env: environments.Environment,
        view: views.View,
        sweeper_: sweeper.Sweeper,
    ) -> None:
        self._env = env
        self._view = view
        self._sweeper = sweeper_

    def run(self) -> None:
        """Sweep until the daemon ends."""
        while True:
            pause = _MIN_INTERVAL + self._env.rng.randrange(_MIN_INTERVAL)
            eventlet.sleep(pause / clock.SECOND)
            self._sweep_round()

    def _sweep_round(self) -> None:
        table = self._view.table
        if not table:
            return
        for _ in range(_MAX_MINUTES_PER_ROUND):
            swept = self._sweeper.sweep(
                self._env.clock.wall(), table.switches.keep_keys
            )
            if swept is None:
                return
            self._env.log.debug("swept", extra=swept._asdict())
