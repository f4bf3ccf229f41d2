"""The queue of one model, with the state that predicts its waits."""

import collections
import collections.abc

from citronvalve.model import clock
from citronvalve.policy import admission
from citronvalve.policy import attempt
from citronvalve.policy import fairshare
from citronvalve.policy import usage
from citronvalve.policy import waiterror

#: Weight of one sample in the mean service times.
_GAIN = 0.05

#: A request is long from this many times the mean service time.
_LONG_RATIO = 4

#: Share of the slots that long requests may hold.
_LONG_SHARE = 0.75

_Weights = collections.abc.Callable[[str], float]


class Backlog:
    """The queue of one model, with predictions of the wait.

    :param weight_of: returns the weight of a team.
    """

    def __init__(self, weight_of: _Weights) -> None:
        self.queue = fairshare.FairQueue()
        self._usage = usage.Usage()
        self._weight_of = weight_of
        self._mean_arriving = 0.0
        self._mean_started = 0.0
        self._wait_error_by_flow: dict[tuple[str, bool], waiterror.WaitError]
        self._wait_error_by_flow = collections.defaultdict(waiterror.WaitError)
        self._long_running = 0
        self._sequence = 0

    def record_arrival(self, entry: attempt.Entry) -> None:
        """Record a request that arrives, accepted or not.

        :param entry: the request.
        """
        gain = _GAIN if self._mean_arriving else 1.0
        self._mean_arriving += gain * (
            entry.expected.mean - self._mean_arriving
        )

    def forecast(
        self,
        entry: attempt.Entry,
        slots: float,
        team_limit: float,
        now: clock.Ms,
    ) -> admission.Forecast:
        """Predict a request's wait.

        :param entry: the request.
        :param slots: slots of this model for all teams.
        :param team_limit: slots that limits allow the team.
        :param now: monotonic ms.
        """
        team = entry.work.team
        is_long = self._is_long(entry)
        if is_long:
            slots *= _LONG_SHARE
        waiting = self.queue.teams_by_turn()
        team_slots = self._usage.available_slots(
            team, slots, self._weight_of, waiting, now
        )
        mean_arriving = round(self._mean_arriving) or entry.expected.mean
        margin = self._wait_error_by_flow[team, is_long].margin(now)
        mean_started = round(self._mean_started) or mean_arriving
        supply = admission.Supply(
            slots,
            min(team_slots, team_limit),
            mean_arriving,
            mean_started,
            margin,
        )
        item = self._queue_item(entry)
        predicted = admission.forecast(self.queue, item, supply, now)
        entry.predicted_wait = predicted.wait
        return predicted

    def may_start(self, entry: attempt.Entry, slots: float) -> bool:
        """Return whether a request may take a slot now.

        Long requests that took each slot as it became free would soon hold
        all of them, and requests due within a second would have to wait.  So
        a part of the slots is kept free of long requests.

        :param entry: the request.
        :param slots: slots of this model for all teams.
        """
        if not self._is_long(entry):
            return True
        return self._long_running < max(1.0, slots * _LONG_SHARE)

    def push(self, entry: attempt.Entry, now: clock.Ms) -> None:
        """Queue a request.

        :param entry: the request.
        :param now: monotonic ms.
        """
        entry.queued_at = now
        self._sequence += 1
        entry.queue_item = self._queue_item(entry)
        self.queue.push(entry.queue_item)

    def remove(self, entry: attempt.Entry, now: clock.Ms) -> None:
        """Remove a request from the queue, if it is queued.

        :param entry: the request.
        :param now: monotonic ms.
        """
        if entry.queue_item is not None:
            if entry.predicted_wait is not None:
                error = now - entry.queued_at - entry.predicted_wait
                flow = entry.work.team, self._is_long(entry)
                self._wait_error_by_flow[flow].record(error, now)
            self.queue.remove(entry.queue_item)
            entry.queue_item = None

    def record_start(self, entry: attempt.Entry, now: clock.Ms) -> None:
        """Record a request that starts.

        :param entry: the request.
        :param now: monotonic ms.
        """
        team, cost = entry.work.team, entry.expected.mean
        entry.is_long = self._is_long(entry)
        self._long_running += entry.is_long
        self.queue.record_start(team, cost, self._weight_of(team))
        self._usage.add(team, cost, now)
        gain = _GAIN if self._mean_started else 1.0
        self._mean_started += gain * (cost - self._mean_started)

    def record_end(self, entry: attempt.Entry) -> None:
        """Record an attempt that ended.

        :param entry: the request.
        """
        self.queue.record_end(entry.work.team)
        self._long_running -= entry.is_long

    def _is_long(self, entry: attempt.Entry) -> bool:
        return 0 < self._mean_arriving * _LONG_RATIO < entry.expected.mean

    def _queue_item(self, entry: attempt.Entry) -> fairshare.QueuedRequest:
        item = entry.work
        return fairshare.QueuedRequest(
            item.deadline,
            self._sequence,
            item.request,
            item.team,
            entry.expected.mean,
            entry.expected.bound,
        )
