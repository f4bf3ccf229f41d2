"""Task that deletes the rows of expired idempotency keys."""

import eventlet

from citronvalve.entry import environment as environments
from citronvalve.entry import view as views
from citronvalve.model import clock
from citronvalve.once import sweeper

#: The pause between rounds is random, from this to twice this: daemons that
#: start together would otherwise sweep the same minute at the same time.
_MIN_INTERVAL: clock.Ms = 30 * clock.SECOND

#: With 8 minutes a round, eight daemons sweep the backlog of a day within
#: half an hour.
_MAX_MINUTES_PER_ROUND = 8


class SweepTask:
    """Sweeps the rows of a few minutes in each round.

    :param env: the daemon's environment.
    :param view: holds the table, which defines how long keys are kept.
    :param sweeper_: deletes the rows of one minute.
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
        """Sweep until the daemon exits."""
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
