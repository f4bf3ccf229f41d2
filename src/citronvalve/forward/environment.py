"""What every part of the forwarding path is given."""

import random

from citronvalve.forward import headernames as dialects
from citronvalve.forward import metrics as metrics_
from citronvalve.model import clock
from citronvalve.model import decisionlog


class Environment:
    """Name, place, clock, chance, log and metrics of one daemon.

    :param name: the daemon's name.
    :param datacentre: where it stands.
    :param clock_: the clock.
    :param chance: source of chance.
    :param log: takes one line a decision.
    :param dialect: names of headers.
    :ivar stopping: set once the daemon has been asked to stop.
    :ivar daemons: how many daemons share what is bounded for all.
    """

    def __init__(
        self,
        name: str,
        datacentre: str,
        clock_: clock.Clock,
        chance: random.Random,
        log: decisionlog.DecisionLog,
        dialect: dialects.HeaderNames,
    ) -> None:
        self.name = name
        self.datacentre = datacentre
        self.clock = clock_
        self.chance = chance
        self.log = log
        self.dialect = dialect
        self.metrics = metrics_.Metrics()
        self.stopping = False
        self.daemons = 1
