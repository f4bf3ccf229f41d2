"""Cuts between daemons and runners."""

from collections.abc import Iterable
import enum

import eventlet

from standins import hangingport
from standins import process
from standins.soak import daemon as daemons
from standins.soak import runner as runners


class Cut(enum.StrEnum):
    """What becomes of a cut daemon's connections to runners."""

    #: Open and new ones carry nothing.
    HANGS = "hang"
    #: Open ones are reset, new ones refused.
    RESETS = "are reset"
    #: Open ones go on, new ones are refused.
    REFUSES = "live on while new ones are refused"


#: Seconds after which the promises about cut daemons hold.
SETTLED = 3.0


class Links:
    """The links of all daemons to all runners.

    :param all_runners: the runners.
    """

    def __init__(self, all_runners: Iterable[runners.Runner]) -> None:
        self._runners = list(all_runners)
        self._refusing = process.free_address()
        self._hanging = hangingport.HangingPort()

    def cut(self, daemon: daemons.Daemon, how: Cut) -> None:
        """Cut a daemon off from all runners.

        :param daemon: the daemon.
        :param how: what becomes of its connections.
        """
        hangs = how is Cut.HANGS
        targets = [runner.relay.address for runner in self._runners]
        daemon.lead(
            targets, self._hanging.address if hangs else self._refusing
        )
        for runner in self._runners:
            if hangs:
                runner.relay.hold(daemon.source)
            elif how is Cut.RESETS:
                runner.relay.reset(daemon.source)

    def mend(self, daemon: daemons.Daemon) -> None:
        """Mend a daemon's links.

        :param daemon: the daemon.
        """
        daemon.lead([], "")
        for runner in self._runners:
            runner.relay.release(daemon.source)

    def cut_for(
        self, cut_off: list[daemons.Daemon], how: Cut, seconds: float
    ) -> None:
        """Cut daemons off and mend their links later.

        :param cut_off: the daemons.
        :param how: what becomes of their connections.
        :param seconds: for how long.
        """
        for daemon in cut_off:
            self.cut(daemon, how)
        eventlet.sleep(seconds)
        for daemon in cut_off:
            self.mend(daemon)
