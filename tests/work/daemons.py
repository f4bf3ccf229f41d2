"""Daemons that place requests by what they know, and their reports."""

import collections
import types

from citronvalve.forward import directory as directories
from citronvalve.forward import metrics
from citronvalve.forward import needs
from citronvalve.forward import placement
from citronvalve.forward import poolrooms
from citronvalve.policy import loaddetails
from citronvalve.policy import upstreamchoice

#: Time in ms between two reports of a daemon.
REPORT_INTERVAL = 150

#: With more daemons, coordinators send sums of the reports.
_MAX_DIRECT_DAEMONS = 12


class Daemon:
    """One daemon with the real placement.

    :param work: the work.
    :param number: decides the data centre.
    :param clock: the clock.
    :param rng: random source.
    """

    def __init__(self, work, number, clock, rng):
        self.datacentre = f"zone-{number % work.datacentres}"
        self.rng = rng
        self._work = work
        self._env = types.SimpleNamespace(
            name=f"daemon-{number}",
            datacentre=self.datacentre,
            clock=clock,
            rng=rng,
            daemon_count=work.daemons,
            metrics=metrics.Metrics(),
        )
        self.restart()

    def restart(self):
        """Start with nothing known of others; its requests are lost."""
        self.loads = upstreamchoice.LoadTable()
        self._directory = directories.Directory(self.datacentre)
        self._version_by_id = {}
        self.rooms = None
        if self._work.fair_shares:
            self.rooms = poolrooms.PoolRooms(
                self._env, self._directory, self.loads
            )
        self.placement = placement.Placement(
            self._env,
            self._directory,
            self.loads,
            placement.ColdLimits(),
            needs.Needs(self._env, self._directory),
            self.rooms,
        )
        steps = 1 if self._work.daemons <= _MAX_DIRECT_DAEMONS else 2
        self.placement.set_report_age(lambda: steps * REPORT_INTERVAL)

    def update_directory(self, world, out):
        """Apply the list of runners.

        :param world: the runners.
        :param out: the data centre that is out of service, or None.
        """
        for runner in world.runner_by_id.values():
            if self._version_by_id.get(runner.id) != runner.list_version:
                self._version_by_id[runner.id] = runner.list_version
                self._directory.update_runner(runner)
        for gone in world.unlisted & self._version_by_id.keys():
            del self._version_by_id[gone]
            self._directory.remove(gone)
        self._directory.set_datacentres_out(frozenset({out} if out else ()))

    def details(self):
        """Return the details of its reports."""
        return self.rooms.details() if self.rooms else loaddetails.NONE

    def counts(self):
        """Return its requests and how many are late, by upstream."""
        return {
            upstream: (load.own, load.late)
            for upstream, load in self.loads.load_by_upstream.items()
            if load.own
        }


class Reports:
    """Tells each daemon the requests of all others.

    Those of its own data centre are as of now, those of others as of up to
    two reports before.  Until the next report all of them age.

    With more than one step, daemons count their requests in turns, a step
    apart, and the sums of all are sent once in an interval: with three steps
    counts are 50 to 300 ms old.

    :param all_daemons: the daemons.
    :param trouble: what befalls the reports, or None.
    :param rng: random source.
    :param steps: parts of the interval.
    :ivar interval: ms between two calls of :meth:`send`.
    """

    def __init__(self, all_daemons, trouble, rng, steps=1):
        self._daemons = all_daemons
        self._trouble = trouble
        self._rng = rng
        self._steps = steps
        self._sent = 0
        self._snapshots = collections.deque(maxlen=max(3, steps + 1))
        self.interval = REPORT_INTERVAL // steps

    def send(self, now, elapsed):
        """Send the reports of all daemons.

        :param now: ms.
        :param elapsed: ms since the work began.
        """
        self._snapshots.append(
            [(daemon.counts(), daemon.details()) for daemon in self._daemons]
        )
        self._sent += 1
        if self._sent % self._steps:
            return
        trouble = self._trouble
        is_harmed = trouble and trouble.begin <= elapsed < trouble.end
        for daemon in self._daemons:
            if is_harmed and (
                (trouble.cut and daemon is self._daemons[0])
                or (trouble.lost and self._rng.random() < trouble.lost)
            ):
                continue
            counts, details = self._of_others(daemon, is_harmed)
            daemon.loads.remote_loads.record("others", counts, now, details)

    def _of_others(self, daemon, is_harmed):
        local, older = self._snapshots[-1], self._snapshots[0]
        total = collections.defaultdict(lambda: [0, 0])
        all_details = []
        for number, other in enumerate(self._daemons):
            if other is daemon or (
                is_harmed and self._trouble.cut and not number
            ):
                continue
            is_local = other.datacentre == daemon.datacentre
            counts, details = (local if is_local else older)[number]
            if self._steps > 1:
                counts, details = self._counted_in_turn(number)
            all_details.append(details)
            for upstream, (count, late) in counts.items():
                total[upstream][0] += count
                total[upstream][1] += late
        counts = {upstream: tuple(both) for upstream, both in total.items()}
        return counts, loaddetails.total(all_details)

    def _counted_in_turn(self, number):
        steps_before = 1 + number % self._steps
        index = max(0, len(self._snapshots) - 1 - steps_before)
        return self._snapshots[index][number]
