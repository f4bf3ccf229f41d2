"""What every part of the forwarding path is given."""

import random

from citronvalve.forward import headernames
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
        self.stopping = False
        self.daemon_count = 1
