"""Broken runs of which it is not known whether their upstream was lost."""

from citronvalve.model import clock
from citronvalve.policy import crashevidence

#: Time between a broken run and the proof that its upstream was lost: the
#: connections of a process end together, and daemons notice it within this
#: time.
_SAME_TIME: clock.Ms = 500

#: Time for which a broken run is kept; a supervised process has started again.
_RETENTION: clock.Ms = 5_000

#: Starts of upstreams with broken runs that are kept.
_MAX_STARTS = 1_000

_Losses = list[crashevidence.Loss]


class CrashDoubts:
    """Keeps what broken runs accuse until their upstream is proved lost.

    A daemon can't always tell a lost upstream from a lost link.  Another
    request or another daemon may, and an upstream that has started again, or
    whose entry has expired, was lost before.
    """

    def __init__(self) -> None:
        self._losses_by_start: dict[int, _Losses] = {}
        self._starts_by_upstream: dict[str, set[int]] = {}
        self._upstream_by_start: dict[int, str] = {}

    def __len__(self) -> int:
        return len(self._losses_by_start)

    def add(self, upstream: str, losses: _Losses) -> None:
        """Keep what a broken run accuses.

        :param upstream: id of its upstream.
        :param losses: of one start, with the time at which the run broke.
        """
        start, now = losses[0].start, losses[0].at
        self._prune(now)
        self._losses_by_start.setdefault(start, []).extend(losses)
        self._starts_by_upstream.setdefault(upstream, set()).add(start)
        self._upstream_by_start[start] = upstream
        if len(self._losses_by_start) > _MAX_STARTS:
            self._drop(next(iter(self._losses_by_start)))

    def confirm(self, start: int, at: clock.Ms) -> _Losses:
        """Return what the runs accuse that broke when a start was lost.

        :param start: that was proved lost.
        :param at: monotonic ms.
        """
        losses = self._losses_by_start.get(start, [])
        found = [loss for loss in losses if is_same_time(loss.at, at)]
        if found:
            self._drop(start)
        return found

    def confirm_earlier(
        self, upstream: str, start: int | None, now: clock.Ms
    ) -> _Losses:
        """Return what the runs accuse that broke on earlier starts.

        :param upstream: id of the upstream that has started again or is gone.
        :param start: the new one, None if it is gone.
        :param now: monotonic ms.
        """
        self._prune(now)
        earlier = self._starts_by_upstream.get(upstream, set()) - {start}
        found = []
        for one in earlier:
            found += self._losses_by_start[one]
            self._drop(one)
        return found

    def _prune(self, now: clock.Ms) -> None:
        for start, losses in list(self._losses_by_start.items()):
            if now - losses[-1].at >= _RETENTION:
                self._drop(start)

    def _drop(self, start: int) -> None:
        del self._losses_by_start[start]
        upstream = self._upstream_by_start.pop(start)
        starts = self._starts_by_upstream[upstream]
        starts.discard(start)
        if not starts:
            del self._starts_by_upstream[upstream]


def is_same_time(broke_at: clock.Ms, lost_at: clock.Ms) -> bool:
    """Return whether a run may have broken as its upstream was lost.

    :param broke_at: monotonic ms.
    :param lost_at: monotonic ms.
    """
    return abs(broke_at - lost_at) <= _SAME_TIME
