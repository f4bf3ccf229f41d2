"""One content of requests that may crash the upstreams it runs on."""

import bisect
from collections.abc import Iterable
from typing import NamedTuple

from citronvalve.model import clock
from citronvalve.policy import crashevidence

#: Losses of a part within this time of each other count as one: upstreams that
#: are lost together are lost by a common cause.
BURST: clock.Ms = 50

#: Weight of the losses of a content whose answer had begun, when it is
#: compared with another one that has more: two that crash upstreams may share
#: a third one, which then has the losses of both.
_BEGUN_WEIGHT = 2

#: Fewest losses of a content that explains those of a part with more, of one
#: that upstreams have survived, and of a whole request.  What runs beside a
#: crashing request may be tried again beside it.
_MIN_EXPLAINING_LOSSES = 4
_MIN_EXPLAINING_SURVIVED = 3
_MIN_EXPLAINING_REQUEST = 2

#: Time after its last loss for which a content explains the losses of a whole
#: request with more.  What is sound is tried again and answered, and what
#: crashes upstreams is lost again.
_RETRY_TIME: clock.Ms = 1_000

#: Losses of a whole request from which only a content with more explains them.
_MAX_TIED_LOSSES = 5


class Accusation(NamedTuple):
    """What accuses a content.

    ``losses`` is the number of its losses.  ``has_survived`` tells whether an
    upstream is known to have survived it; None for a whole request, since one
    that runs beside those that crash upstreams has not been answered either.
    ``at`` is when it is judged, in monotonic ms.
    """

    losses: int
    has_survived: bool | None
    at: clock.Ms

    @property
    def fewest_explaining(self) -> int:
        """Return the fewest losses of a content that explains its losses."""
        if self.has_survived is None:
            return _MIN_EXPLAINING_REQUEST
        return min(self.losses, _MIN_EXPLAINING_SURVIVED)


class CrashSuspect:
    """What is known of one content.

    :param unproven_burst: ms within which losses count as one as long as no
        upstream has survived the content.
    :ivar loss_by_start: its losses by the start of the upstream.
    :ivar proven_at_by_model: monotonic ms of the last proof by model.
    """

    def __init__(self, unproven_burst: clock.Ms = BURST) -> None:
        self._unproven_burst = unproven_burst
        self.loss_by_start: dict[int, crashevidence.Loss] = {}
        self.proven_at_by_model: dict[int, clock.Ms] = {}
        self._count_by_model: dict[int, int] = {}

    @property
    def last_lost_at(self) -> clock.Ms:
        """Return when the last upstream was lost, in monotonic ms."""
        return max(loss.at for loss in self.loss_by_start.values())

    @property
    def has_survived(self) -> bool:
        """Return whether an upstream is known to have survived the content."""
        return bool(self.proven_at_by_model)

    def losses(self, model: int) -> list[crashevidence.Loss]:
        """Return the losses that count against a request of a model.

        A proof clears the losses of its own model for all, and those of all
        models for its own: a content may crash upstreams of one model only.

        :param model: digest of the model's name.
        """
        return [
            loss
            for loss in self.loss_by_start.values()
            if not self._is_cleared(loss, model)
            and not self._is_cleared(loss, loss.model)
        ]

    def count(self, model: int) -> int:
        """Return the number of these losses that are apart in time.

        :param model: digest of the model's name.
        """
        count = self._count_by_model.get(model)
        if count is None:
            count = self.count_apart(loss.at for loss in self.losses(model))
            self._count_by_model[model] = count
        return count

    def count_apart(self, times: Iterable[clock.Ms]) -> int:
        """Return how many losses there are, those of a burst counted as one.

        :param times: of the losses, in monotonic ms.
        """
        burst = BURST if self.has_survived else self._unproven_burst
        ordered = sorted(times)
        count = index = 0
        while index < len(ordered):
            count += 1
            index = max(
                index + 1, bisect.bisect_left(ordered, ordered[index] + burst)
            )
        return count

    def explains(
        self, loss: crashevidence.Loss, accusation: Accusation, model: int
    ) -> bool:
        """Return whether this content explains a loss that accuses another.

        One that upstreams have survived does not, if none has survived the
        other; nor does one that waited, if the other is a part, had begun to
        be answered and was lost as often.

        :param loss: of the other content, with a start that this one shares.
        :param accusation: of the other content.
        :param model: digest of the model's name.
        """
        count = self.count(model)
        survived = accusation.has_survived
        if survived is not None and survived is not self.has_survived:
            return survived and count >= accusation.fewest_explaining
        if count > accusation.losses:
            return True
        begun = self.loss_by_start[loss.start].begun
        if survived is None:
            return self._explains_request(count, begun, accusation)
        if loss.begun and not begun:
            return False
        if count == accusation.losses:
            return True
        return begun and self._outweighs(
            count, accusation, _MIN_EXPLAINING_LOSSES
        )

    def _explains_request(
        self, count: int, begun: bool, accusation: Accusation
    ) -> bool:
        """Return whether this content explains a loss of a whole request.

        :param count: losses of this content, not more than the request's.
        :param begun: whether its answer had begun there.
        :param accusation: of the request.
        """
        if accusation.losses >= _MAX_TIED_LOSSES:
            return False
        if count == accusation.losses:
            return True
        if accusation.at - self.last_lost_at >= _RETRY_TIME:
            return False
        return begun and self._outweighs(
            count, accusation, _MIN_EXPLAINING_REQUEST
        )

    def _outweighs(
        self, count: int, accusation: Accusation, enough: int
    ) -> bool:
        return count >= enough and _BEGUN_WEIGHT * count >= accusation.losses

    def add(self, loss: crashevidence.Loss) -> bool:
        """Add a loss; return whether it is new.

        :param loss: seen here or by another daemon.
        """
        known = self.loss_by_start.get(loss.start)
        if known is not None:
            # Another daemon's report may have taken longer than its age
            # tells, and several requests may have had the content.
            loss = loss._replace(
                at=min(known.at, loss.at), begun=known.begun or loss.begun
            )
        self.loss_by_start[loss.start] = loss
        self._count_by_model.clear()
        return known is None or known.begun is not loss.begun

    def drop_oldest(self) -> int:
        """Drop the oldest loss and return its start."""
        oldest = min(self.loss_by_start.values(), key=lambda loss: loss.at)
        del self.loss_by_start[oldest.start]
        self._count_by_model.clear()
        return oldest.start

    def clear(self, model: int, at: clock.Ms) -> int:
        """Record a proof; return the number of losses that it clears.

        :param model: digest of the name of the upstream's model.
        :param at: monotonic ms.
        """
        known = self.proven_at_by_model.get(model)
        if known is not None and known >= at:
            return 0
        before = self.count(model)
        self.proven_at_by_model[model] = at
        self._count_by_model.clear()
        return before - self.count(model)

    def most_losses(self) -> int:
        """Return the losses since the last proof, for the worst model."""
        models = {loss.model for loss in self.loss_by_start.values()}
        return max(self.count(model) for model in models)

    def _is_cleared(self, loss: crashevidence.Loss, model: int) -> bool:
        proven_at = self.proven_at_by_model.get(model)
        return proven_at is not None and proven_at >= loss.at
