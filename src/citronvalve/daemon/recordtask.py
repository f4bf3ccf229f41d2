"""The task that writes the record of requests that run at most once."""

from collections.abc import Callable

import eventlet

from citronvalve.entry import environment as environments
from citronvalve.model import clock
from citronvalve.once import greenwaiting
from citronvalve.once import loop
from citronvalve.once import pacer
from citronvalve.once import recorder as recorders
from citronvalve.once import sweeper
from citronvalve.storage import client as platform_client
from citronvalve.storage import httpobjects
from citronvalve.storage import httptable

#: How often the share of the store's writes is looked at again.  While it
#: lags, 8 daemons that become 16 ask for twice their share for a second.
_RATE_UPDATE_INTERVAL: clock.Ms = 1_000

#: How long a daemon that ends waits for outcomes to be written.  Those that
#: are left stay "unknown", which is true.
_DRAIN_TIMEOUT: clock.Ms = 5_000

_START_BITS = 64


class RecordTask:
    """Owns the recorder of this start of the daemon.

    :param env: the daemon's environment.
    :param platform: the client of the platform.
    :param daemons: tells how many daemons share the platform.
    """

    def __init__(
        self,
        env: environments.Environment,
        platform: platform_client.PlatformClient,
        daemon_count: Callable[[], int],
    ) -> None:
        self._env = env
        self._daemon_count = daemon_count
        waiting = greenwaiting.GreenWaiting()
        # Two starts of one daemon must not share names of attempts: the
        # second would take the first one's rows for its own.
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
            pacer.share(daemon_count()),
        )
        self._loop = loop.Loop(self.recorder, waiting, env.clock)

    def run(self) -> None:
        """Write batches until the daemon ends."""
        eventlet.spawn(self._update_rate)
        self._loop.run()

    def _update_rate(self) -> None:
        while True:
            rate = pacer.share(self._daemon_count())
            self.recorder.writer.pacer.rate = rate
            eventlet.sleep(_RATE_UPDATE_INTERVAL / clock.SECOND)

    def drain(self) -> None:
        """Wait until every outcome is written, for a while."""
        left = self._loop.drain(_DRAIN_TIMEOUT)
        if left:
            self._env.log.warning("outcomes not written", extra={"left": left})
