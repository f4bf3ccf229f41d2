"""Requests that crash the upstreams which run them."""

from typing import NamedTuple

from citronvalve.model import clock

#: Fingerprints remembered.  One crash marks all that ran there, a few
#: dozen; this holds hundreds of crashes.
_MAX_FINGERPRINTS = 10_000


#: A sound upstream reports within this time after a connection to it broke.
#: One that doesn't is taken for dead.
_REPORT_TIMEOUT: clock.Ms = 5_000


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
        self._losses_by_fingerprint: dict[str, dict[str, clock.Ms]] = {}
        self._suspicions_by_upstream: dict[str, dict[str, clock.Ms]] = {}

    def record_loss(
        self, fingerprint: str, upstream: str, now: clock.Ms
    ) -> None:
        """Note that an upstream died with a request on it.

        :param fingerprint: the request's; an empty one is never refused,
            but tells peers that the upstream was lost.
        :param upstream: who died.
        :param now: monotonic ms.
        """
        self._suspicions_by_upstream.get(upstream, {}).pop(fingerprint, None)
        lost = self._losses_by_fingerprint.setdefault(fingerprint, {})
        lost[upstream] = max(now, lost.get(upstream, now))
        if len(self._losses_by_fingerprint) > _MAX_FINGERPRINTS:
            del self._losses_by_fingerprint[
                next(iter(self._losses_by_fingerprint))
            ]

    def suspect(self, fingerprint: str, upstream: str, now: clock.Ms) -> None:
        """Note that a connection broke, which a death would explain.

        :param fingerprint: the request's.
        :param upstream: whose connection it was.
        :param now: monotonic ms.
        """
        self._suspicions_by_upstream.setdefault(upstream, {})[fingerprint] = (
            now
        )

    def confirm_loss(self, upstream: str, now: clock.Ms) -> bool:
        """Turn doubts into losses: it is gone, or started afresh.

        :param upstream: who died.
        :param now: monotonic ms.
        :return: whether there was a doubt.
        """
        suspicions = self._suspicions_by_upstream.pop(upstream, {})
        for fingerprint in suspicions:
            self.record_loss(fingerprint, upstream, now)
        return bool(suspicions)

    def overdue(self, now: clock.Ms) -> list[str]:
        """Return upstreams that have been silent since they were doubted.

        :param now: monotonic ms.
        """
        return [
            name
            for name, doubts in self._suspicions_by_upstream.items()
            if any(now - at >= _REPORT_TIMEOUT for at in doubts.values())
        ]

    def clear_suspicions(self, upstream: str) -> None:
        """Drop doubts: it reported after them, and is the same as before.

        :param upstream: who reported.
        """
        self._suspicions_by_upstream.pop(upstream, None)

    def clear(self, fingerprint: str) -> None:
        """Drop all that speaks against a request: it has just been done.

        One that crashes upstreams is never done.  One that only ran beside
        it is, and must not be refused for it.

        :param fingerprint: the request's.
        """
        if fingerprint:
            self._losses_by_fingerprint.pop(fingerprint, None)
            for suspicions in self._suspicions_by_upstream.values():
                suspicions.pop(fingerprint, None)

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
        lost = self._losses_by_fingerprint.get(fingerprint, {})
        return sum(now - at < span for at in lost.values())

    def suspicion_count(self, fingerprint: str) -> int:
        """Return how many upstreams may have been lost, and may not.

        :param fingerprint: the request's.
        """
        if not fingerprint or not self._suspicions_by_upstream:
            return 0
        return sum(
            fingerprint in seen
            for seen in self._suspicions_by_upstream.values()
        )

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
        for fingerprint in list(self._losses_by_fingerprint):
            lost = self._losses_by_fingerprint[fingerprint]
            if all(now - at >= span for at in lost.values()):
                del self._losses_by_fingerprint[fingerprint]
        return tuple(
            Loss(fingerprint, upstream, now - at)
            for fingerprint, lost in self._losses_by_fingerprint.items()
            for upstream, at in lost.items()
        )
