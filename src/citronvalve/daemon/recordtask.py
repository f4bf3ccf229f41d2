"""The task that writes the record of requests that run at most once."""

from citronvalve.entry import environment as environments
from citronvalve.model import clock
from citronvalve.once import greenwaiting
from citronvalve.once import loop
from citronvalve.once import recorder as recorders
from citronvalve.once import sweeper
from citronvalve.platform import client as platform_client
from citronvalve.platform import httpobjects
from citronvalve.platform import httptable

#: Transactions a second of one daemon.  The platform takes some 300 writes
#: a second, shared here by at most 8 daemons; with more, each one's share
#: has to be smaller, and its callers wait longer for their batch.
_RATE = 37.0

#: How long a daemon that ends waits for outcomes to be written.  Those that
#: are left stay "unknown", which is true.
_DRAIN: clock.Ms = 5_000

_START_BITS = 64


class RecordTask:
    """Owns the recorder of this start of the daemon.

    :param env: the daemon's environment.
    :param platform: the client of the platform.
    """

    def __init__(
        self,
        env: environments.Environment,
        platform: platform_client.PlatformClient,
    ) -> None:
        self._env = env
        waiting = greenwaiting.GreenWaiting()
        # Two starts of one daemon must not share names of attempts: the
        # second would take the first one's rows for its own.
        start = env.chance.getrandbits(_START_BITS)
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
            env.chance,
            env.invariants,
            _RATE,
        )
        self._loop = loop.Loop(self.recorder, waiting, env.clock)

    def run(self) -> None:
        """Write batches until the daemon ends."""
        self._loop.run()

    def drain(self) -> None:
        """Wait until every outcome is written, for a while."""
        left = self._loop.drain(_DRAIN)
        if left:
            self._env.log.warning("outcomes not written", extra={"left": left})
