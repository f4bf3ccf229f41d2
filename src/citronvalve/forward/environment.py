"""The context shared by all components of the forwarding path."""

import random

from citronvalve.forward import bodybuffer
from citronvalve.forward import headernames
from citronvalve.forward import metrics as metrics_
from citronvalve.forward import pausewatch
from citronvalve.model import clock
from citronvalve.model import decisionlog
from citronvalve.policy import callerbudget
from citronvalve.policy import memoryaccount
from citronvalve.policy import memorylimits
from citronvalve.policy import stopschedule
from citronvalve.policy import workturns


class Environment:
    """Name, location, clock, random generator, log and metrics of a daemon.

    :param name: the daemon's name.
    :param datacentre: its data centre.
    :param clock_: the clock.
    :param rng: the random number generator.
    :param log: the decision log.
    :param header_names: names of the headers that the daemon reads and sets.
    :ivar body_space: space for the bodies of responses.
    :ivar memory: the account of the memory.
    :ivar bodies: budget for the bodies of requests.
    :ivar turns: spaces the work that bodies make.
    :ivar unsent: budget for what callers have not read, None if writes wait
        for them.
    :ivar link: bytes per ms of the VM's link, 0 if that is not known.
    :ivar stop: when a daemon that was asked to stop does what, or None.
    :ivar pauses: tells whether the process stood still.
    :ivar daemon_count: how many daemons share the limits.
    """

    def __init__(
        self,
        name: str,
        datacentre: str,
        clock_: clock.Clock,
        rng: random.Random,
        log: decisionlog.DecisionLog,
        header_names: headernames.HeaderNames,
    ) -> None:
        self.name = name
        self.datacentre = datacentre
        self.clock = clock_
        self.rng = rng
        self.log = log
        self.header_names = header_names
        self.metrics = metrics_.Metrics()
        self.memory = memoryaccount.MemoryAccount()
        self.body_space = bodybuffer.BodySpace(account=self.memory)
        self.bodies = callerbudget.CallerBudget(
            memorylimits.BODIES_DEFAULT,
            self.memory,
            memoryaccount.Part.REQUESTS,
            yields=True,
        )
        self.turns = workturns.WorkTurns()
        self.unsent: callerbudget.CallerBudget | None = None
        self.link = 0.0
        self.stop: stopschedule.StopSchedule | None = None
        self.pauses = pausewatch.PauseWatch(clock_)
        self.daemon_count = 1

    @property
    def stopping(self) -> bool:
        """Return whether the daemon has been asked to stop."""
        return self.stop is not None

    def has_stopped_listening(self) -> bool:
        """Return whether a connection ends after the request in progress."""
        return (
            self.stop is not None
            and self.clock.now() >= self.stop.listens_until
        )

    def takes_requests(self) -> bool:
        """Return whether a request that has been read now is served."""
        return self.stop is None or self.clock.now() < self.stop.takes_until
