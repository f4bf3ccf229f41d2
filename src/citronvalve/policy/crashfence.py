"""Requests that crash the upstreams which run them."""

from typing import NamedTuple

from citronvalve.model import clock

#: Fingerprints remembered.  One crash marks all that ran there, a few
#: dozen; this holds hundreds of crashes.
_MOST_FINGERPRINTS = 10_000


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
    must be lost, since one that keeps dying by itself proves nothing.
    """

    def __init__(self) -> None:
        self._lost_by_print: dict[str, dict[str, clock.Ms]] = {}

    def lose(self, fingerprint: str, upstream: str, now: clock.Ms) -> None:
        """Note that an upstream died with a request on it.

        :param fingerprint: the request's; an empty one is never refused,
            but tells peers that the upstream was lost.
        :param upstream: who died.
        :param now: monotonic ms.
        """
        lost = self._lost_by_print.setdefault(fingerprint, {})
        lost[upstream] = max(now, lost.get(upstream, now))
        if len(self._lost_by_print) > _MOST_FINGERPRINTS:
            del self._lost_by_print[next(iter(self._lost_by_print))]

    def losses(self, fingerprint: str, now: clock.Ms, span: clock.Ms) -> int:
        """Return how many different upstreams were lost.

        :param fingerprint: the request's.
        :param now: monotonic ms.
        :param span: how long a loss counts, in ms.
        """
        lost = self._lost_by_print.get(fingerprint)
        if not lost or not fingerprint:
            return 0
        return sum(now - at < span for at in lost.values())

    def learn(self, loss: Loss, now: clock.Ms) -> None:
        """Take in a loss that a peer saw.

        :param loss: what the peer told.
        :param now: monotonic ms.
        """
        self.lose(loss.fingerprint, loss.upstream, now - loss.age)

    def tell(self, now: clock.Ms, span: clock.Ms) -> tuple[Loss, ...]:
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
