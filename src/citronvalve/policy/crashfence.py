"""Detection of requests that crash the upstreams they run on."""

from typing import NamedTuple

from citronvalve.model import clock

#: Fingerprints kept.  One crash marks all requests that ran there, a few
#: dozen, so that this holds hundreds of crashes.
_MAX_FINGERPRINTS = 10_000

#: A healthy upstream reports within this time after a connection to it
#: broke.  One that doesn't is considered dead.
_REPORT_TIMEOUT: clock.Ms = 5_000


class Loss(NamedTuple):
    """The loss of an upstream while it ran a request.

    It is sent between daemons, whose clocks differ, so that it has an
    ``age`` in ms instead of a time.
    """

    fingerprint: str
    upstream: str
    age: clock.Ms


class CrashFence:
    """Counts the upstreams that were lost with each request.

    A request that crashes upstreams takes them down one by one when its
    caller sends it again after each crash.  Only different upstreams count,
    since one that keeps crashing may do so by itself.  A broken connection
    is only a suspicion, until the upstream's next report clears it or the
    lack of one confirms the loss.
    """

    def __init__(self) -> None:
        self._losses_by_fingerprint: dict[str, dict[str, clock.Ms]] = {}
        self._suspicions_by_upstream: dict[str, dict[str, clock.Ms]] = {}

    def record_loss(
        self, fingerprint: str, upstream: str, now: clock.Ms
    ) -> None:
        """Record that an upstream died while it ran a request.

        :param fingerprint: the request's; an empty one is never fenced, but
            informs peers of the lost upstream.
        :param upstream: name of the upstream.
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
        """Record a broken connection, which a crash may have caused.

        :param fingerprint: the request's.
        :param upstream: name of the upstream.
        :param now: monotonic ms.
        """
        self._suspicions_by_upstream.setdefault(upstream, {})[fingerprint] = (
            now
        )

    def confirm_loss(self, upstream: str, now: clock.Ms) -> bool:
        """Turn suspicions into losses, as the upstream is gone or restarted.

        :param upstream: name of the upstream.
        :param now: monotonic ms.
        :return: whether there was a suspicion.
        """
        suspicions = self._suspicions_by_upstream.pop(upstream, {})
        for fingerprint in suspicions:
            self.record_loss(fingerprint, upstream, now)
        return bool(suspicions)

    def overdue(self, now: clock.Ms) -> list[str]:
        """Return suspected upstreams whose report is overdue.

        :param now: monotonic ms.
        """
        return [
            name
            for name, suspicions in self._suspicions_by_upstream.items()
            if any(now - at >= _REPORT_TIMEOUT for at in suspicions.values())
        ]

    def clear_suspicions(self, upstream: str) -> None:
        """Drop suspicions, as the upstream reported and did not restart.

        :param upstream: name of the upstream.
        """
        self._suspicions_by_upstream.pop(upstream, None)

    def clear(self, fingerprint: str) -> None:
        """Drop all losses and suspicions of a request that succeeded.

        A request that crashes upstreams never succeeds, but one that ran
        beside it may, and must not be fenced.

        :param fingerprint: the request's.
        """
        if fingerprint:
            self._losses_by_fingerprint.pop(fingerprint, None)
            for suspicions in self._suspicions_by_upstream.values():
                suspicions.pop(fingerprint, None)

    def loss_count(
        self, fingerprint: str, now: clock.Ms, span: clock.Ms
    ) -> int:
        """Return the number of different upstreams that were lost.

        :param fingerprint: the request's.
        :param now: monotonic ms.
        :param span: how long a loss counts, in ms.
        """
        if not fingerprint:
            return 0
        lost = self._losses_by_fingerprint.get(fingerprint, {})
        return sum(now - at < span for at in lost.values())

    def suspicion_count(self, fingerprint: str) -> int:
        """Return the number of upstreams that are suspected to be lost.

        :param fingerprint: the request's.
        """
        if not fingerprint or not self._suspicions_by_upstream:
            return 0
        return sum(
            fingerprint in suspicions
            for suspicions in self._suspicions_by_upstream.values()
        )

    def record_remote_loss(self, loss: Loss, now: clock.Ms) -> None:
        """Record a loss that a peer reported.

        :param loss: the peer's report.
        :param now: monotonic ms.
        """
        self.record_loss(loss.fingerprint, loss.upstream, now - loss.age)

    def recent_losses(self, now: clock.Ms, span: clock.Ms) -> tuple[Loss, ...]:
        """Return the losses to send to peers, and drop expired ones.

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
