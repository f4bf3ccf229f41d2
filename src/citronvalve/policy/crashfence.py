"""Requests that crash the upstreams which run them."""

from typing import NamedTuple

from citronvalve.model import clock

#: Fingerprints remembered.  One crash marks all that ran there, a few
#: dozen; this holds hundreds of crashes.
_MOST_FINGERPRINTS = 10_000


#: A sound upstream reports within this time after a connection to it broke.
#: One that doesn't is taken for dead.
_DOUBT: clock.Ms = 5_000


class Loss(NamedTuple):
    """An upstream died with a request on it.

    Travels between daemons, so it carries an ``age`` in ms and no moment.
    """

    fingerprint: str
    upstream: str
    age: clock.Ms


class CrashFence:
    """Refuses a request after it has cost several upstreams.

    Made for the request whose caller sends it again after each crash: with
    no fence it takes the upstreams down one by one.  Different upstreams
    must be lost, since one that keeps dying by itself proves nothing.  A
    connection that broke is only a doubt: the request waits until the
    upstream's next report, or its absence, tells which it was.
    """

    def __init__(self) -> None:
        self._lost_by_print: dict[str, dict[str, clock.Ms]] = {}
        self._doubts: dict[str, dict[str, clock.Ms]] = {}

    def record_loss(
        self, fingerprint: str, upstream: str, now: clock.Ms
    ) -> None:
        """Note that an upstream died with a request on it.

        :param fingerprint: the request's; an empty one is never refused,
            but tells peers that the upstream was lost.
        :param upstream: who died.
        :param now: monotonic ms.
        """
        self._doubts.get(upstream, {}).pop(fingerprint, None)
        lost = self._lost_by_print.setdefault(fingerprint, {})
        lost[upstream] = max(now, lost.get(upstream, now))
        if len(self._lost_by_print) > _MOST_FINGERPRINTS:
            del self._lost_by_print[next(iter(self._lost_by_print))]

    def suspect(self, fingerprint: str, upstream: str, now: clock.Ms) -> None:
        """Note that a connection broke, which a death would explain.

        :param fingerprint: the request's.
        :param upstream: whose connection it was.
        :param now: monotonic ms.
        """
        self._doubts.setdefault(upstream, {})[fingerprint] = now

    def confirm_loss(self, upstream: str, now: clock.Ms) -> bool:
        """Turn doubts into losses: it is gone, or started afresh.

        :param upstream: who died.
        :param now: monotonic ms.
        :return: whether there was a doubt.
        """
        doubts = self._doubts.pop(upstream, {})
        for fingerprint in doubts:
            self.record_loss(fingerprint, upstream, now)
        return bool(doubts)

    def overdue(self, now: clock.Ms) -> list[str]:
        """Return upstreams that have been silent since they were doubted.

        :param now: monotonic ms.
        """
        return [
            name
            for name, doubts in self._doubts.items()
            if any(now - at >= _DOUBT for at in doubts.values())
        ]

    def clear_suspicions(self, upstream: str) -> None:
        """Drop doubts: it reported after them, and is the same as before.

        :param upstream: who reported.
        """
        self._doubts.pop(upstream, None)

    def clear(self, fingerprint: str) -> None:
        """Drop all that speaks against a request: it has just been done.

        One that crashes upstreams is never done.  One that only ran beside
        it is, and must not be refused for it.

        :param fingerprint: the request's.
        """
        if fingerprint:
            self._lost_by_print.pop(fingerprint, None)
            for doubts in self._doubts.values():
                doubts.pop(fingerprint, None)

    def loss_count(
        self, fingerprint: str, now: clock.Ms, span: clock.Ms
    ) -> int:
        """Return how many different upstreams were lost.

        :param fingerprint: the request's.
        :param now: monotonic ms.
        :param span: how long a loss counts, in ms.
        """
        if not fingerprint:
            return 0
        lost = self._lost_by_print.get(fingerprint, {})
        return sum(now - at < span for at in lost.values())

    def suspicion_count(self, fingerprint: str) -> int:
        """Return how many upstreams may have been lost, and may not.

        :param fingerprint: the request's.
        """
        if not fingerprint or not self._doubts:
            return 0
        return sum(fingerprint in seen for seen in self._doubts.values())

    def record_remote_loss(self, loss: Loss, now: clock.Ms) -> None:
        """Take in a loss that a peer saw.

        :param loss: what the peer told.
        :param now: monotonic ms.
        """
        self.record_loss(loss.fingerprint, loss.upstream, now - loss.age)

    def recent_losses(self, now: clock.Ms, span: clock.Ms) -> tuple[Loss, ...]:
        """Return the losses that peers should know, and drop old ones.

        :param now: monotonic ms.
        :param span: how long a loss counts, in ms.
        """
        for fingerprint in list(self._lost_by_print):
            lost = self._lost_by_print[fingerprint]
            if all(now - at >= span for at in lost.values()):
                del self._lost_by_print[fingerprint]
        return tuple(
            Loss(fingerprint, upstream, now - at)
            for fingerprint, lost in self._lost_by_print.items()
            for upstream, at in lost.items()
        )
