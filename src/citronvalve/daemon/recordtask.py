"""Task that records requests that run at most once."""

from collections.abc import Callable

import eventlet

from citronvalve.entry import environment as environments
from citronvalve.model import clock
from citronvalve.once import commitloop
from citronvalve.once import greenscheduler
from citronvalve.once import pacer
from citronvalve.once import recorder as recorders
from citronvalve.once import sweeper
from citronvalve.storage import client as platform_client
from citronvalve.storage import httpobjects
from citronvalve.storage import httptable

#: Interval between updates of this daemon's share of the store's writes.
#: Until the update, 8 daemons that become 16 write at twice their share.
_RATE_UPDATE_INTERVAL: clock.Ms = 1_000

#: Bounds the wait for unwritten outcomes at shutdown.  The records of those
#: that remain correctly stay "unknown".
_DRAIN_TIMEOUT: clock.Ms = 5_000

_START_BITS = 64


class RecordTask:
    """Runs the recorder, which is specific to this start of the daemon.

    :param env: the daemon's environment.
    :param platform: the client of the platform.
    :param daemon_count: returns how many daemons share the platform.
    :ivar recorder: writes the records.
    :ivar sweeper: deletes expired records.
    """

    def __init__(
        self,
        env: environments.Environment,
        platform: platform_client.PlatformClient,
        daemon_count: Callable[[], int],
    ) -> None:
        self._env = env
        self._daemon_count = daemon_count
        waiting = greenscheduler.GreenScheduler()
        # Attempt names must differ between two starts of one daemon;
        # otherwise the second would treat the first one's rows as its own.
        start = env.rng.getrandbits(_START_BITS)
        name = f"{env.name}-{start:016x}"
        stores = recorders.Stores(
            httptable.HttpTable(platform), httpobjects.HttpObjects(platform)
        )
        self.sweeper = sweeper.Sweeper(name, *stores, env.invariants)
        self.recorder = recorders.Recorder(
            name,
            stores,
            env.clock,
            waiting,
            env.rng,
            env.invariants,
            pacer.rate_for(daemon_count()),
        )
        self._loop = commitloop.CommitLoop(self.recorder, waiting, env.clock)

    def run(self) -> None:
        """Write batches until the daemon exits."""
        eventlet.spawn(self._update_rate)
        self._loop.run()

    def _update_rate(self) -> None:
        while True:
            rate = pacer.rate_for(self._daemon_count())
            self.recorder.writer.pacer.rate = rate
            eventlet.sleep(_RATE_UPDATE_INTERVAL / clock.SECOND)

    def drain(self) -> None:
        """Wait, with a timeout, until every outcome is written."""
        left = self._loop.drain(_DRAIN_TIMEOUT)
        if left:
            self._env.log.warning("outcomes not written", extra={"left": left})
