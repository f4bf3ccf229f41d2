"""Contents of requests that may crash the upstreams they run on."""

import bisect
from collections.abc import Callable
from collections.abc import Iterable
from typing import NamedTuple

from citronvalve.model import clock

#: Losses since its last proof from which a content is held to crash upstreams:
#: a whole request, and a part, which sound requests may share.
_MAX_REQUEST_LOSSES = 3
_MAX_PART_LOSSES = 4

#: Losses of a part within this time of each other count as one: upstreams that
#: are lost together are lost by a common cause.
_BURST: clock.Ms = 50

#: Time after its last loss for which a content is kept, and for which one is
#: that is held to crash upstreams.
_RETENTION: clock.Ms = 300_000
_FENCE_RETENTION: clock.Ms = 1_800_000

#: Weight of the losses of a content whose answer had begun, when it is
#: compared with another one: two that crash upstreams may share a third one,
#: which then has the losses of both.
_BEGUN_WEIGHT = 2

#: Time after the last loss until a fenced content may be tried, once soon and
#: then at intervals that double with each trial that loses another upstream.
_FIRST_TRIAL_AFTER: clock.Ms = 1_000
_TRIAL_INTERVAL: clock.Ms = 30_000
_MAX_TRIAL_INTERVAL: clock.Ms = 600_000

#: Contents kept, and losses of each.
_MAX_SUSPECTS = 4_096
_MAX_STARTS = 16

#: Part of the contents that is dropped at once when there are too many.
_DROPPED_PART = 4

#: Contents in a snapshot, and the fewest losses of each: one loss alone
#: accuses whatever ran there.
_MAX_SNAPSHOT = 128
_MIN_SNAPSHOT_LOSSES = 2

#: Fenced contents that are stored.
_MAX_RECORDED = 32


_Counter = Callable[[list[clock.Ms]], int]


class Contents(NamedTuple):
    """Digests of a whole request and of the shared parts of its prompt."""

    whole: int
    parts: tuple[int, ...] = ()

    def all(self) -> tuple[int, ...]:
        """Return all digests."""
        return self.whole, *self.parts


class Loss(NamedTuple):
    """A start of an upstream that was lost while it ran a content.

    ``content`` and ``model`` are digests, ``start`` identifies the upstream
    and its start, ``at`` is monotonic ms.  ``begun`` tells whether the
    upstream had begun to answer the request.
    """

    content: int
    start: int
    model: int
    at: clock.Ms
    begun: bool = True


class Proof(NamedTuple):
    """An answer on a content that an upstream of a model wrote and survived.

    ``model`` is a digest of its name, ``at`` monotonic ms.
    """

    content: int
    model: int
    at: clock.Ms


class Evidence(NamedTuple):
    """Losses and proofs."""

    losses: tuple[Loss, ...] = ()
    proofs: tuple[Proof, ...] = ()


class Verdict(NamedTuple):
    """A content that crashes upstreams; may be tried from ``trial_at`` on."""

    content: int
    losses: int
    trial_at: clock.Ms


class _Suspect:
    """The losses and proofs of one content."""

    def __init__(self) -> None:
        self.loss_by_start: dict[int, Loss] = {}
        self.proven_at_by_model: dict[int, clock.Ms] = {}
        self._count_by_model: dict[int, int] = {}

    @property
    def last_lost_at(self) -> clock.Ms:
        return max(loss.at for loss in self.loss_by_start.values())

    def losses(self, model: int) -> list[Loss]:
        """Return the losses that count against a request of a model.

        A proof clears the losses of its own model for all, and those of all
        models for its own: a content may crash upstreams of one model only.
        """
        return [
            loss
            for loss in self.loss_by_start.values()
            if not self._is_cleared(loss, model)
            and not self._is_cleared(loss, loss.model)
        ]

    def count(self, model: int) -> int:
        """Return the number of these losses that are apart in time."""
        count = self._count_by_model.get(model)
        if count is None:
            count = _count(loss.at for loss in self.losses(model))
            self._count_by_model[model] = count
        return count

    def add(self, loss: Loss) -> bool:
        """Add a loss; return whether it is new."""
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
        """Record a proof; return the number of losses that it clears."""
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

    def _is_cleared(self, loss: Loss, model: int) -> bool:
        proven_at = self.proven_at_by_model.get(model)
        return proven_at is not None and proven_at >= loss.at


class CrashSuspects:
    """Finds out which contents crash upstreams, from losses and proofs.

    A lost upstream takes all requests down that it ran, so that each loss
    accuses all their contents.  A content that an upstream wrote an answer on
    without a crash is cleared.  What remains is accused once it has enough
    losses of its own: those that another content explains as well, which was
    lost about as often, do not count against a request without that one.
    Requests with either of two contents that were always lost together are
    let through, and show which one it is.
    """

    def __init__(self) -> None:
        self._suspect_by_content: dict[int, _Suspect] = {}
        self._contents_by_start: dict[int, set[int]] = {}

    def __len__(self) -> int:
        return len(self._suspect_by_content)

    def record_loss(self, loss: Loss) -> bool:
        """Record a loss; return whether it is new.

        :param loss: seen here or by another daemon.
        """
        suspect = self._suspect_by_content.get(loss.content)
        if suspect is None:
            if len(self._suspect_by_content) >= _MAX_SUSPECTS:
                self._drop_weakest()
            suspect = self._suspect_by_content[loss.content] = _Suspect()
        if not suspect.add(loss):
            return False
        self._contents_by_start.setdefault(loss.start, set()).add(loss.content)
        if len(suspect.loss_by_start) > _MAX_STARTS:
            dropped = suspect.drop_oldest()
            self._forget(dropped, loss.content)
            return dropped != loss.start
        return True

    def record_proof(self, proof: Proof) -> int:
        """Record a proof; return the number of losses that it clears.

        :param proof: seen here or by another daemon.
        """
        suspect = self._suspect_by_content.get(proof.content)
        return 0 if suspect is None else suspect.clear(proof.model, proof.at)

    def merge(self, evidence: Evidence) -> None:
        """Record what another daemon knows.

        :param evidence: its losses and proofs.
        """
        for loss in evidence.losses:
            self.record_loss(loss)
        for proof in evidence.proofs:
            self.record_proof(proof)

    def find(self, contents: Contents, model: int) -> Verdict | None:
        """Return the verdict on a request that crashes upstreams, or None.

        :param contents: of the request.
        :param model: digest of its model's name.
        """
        rules: list[tuple[int, int, _Counter]] = [
            (contents.whole, _MAX_REQUEST_LOSSES, len),
            *((part, _MAX_PART_LOSSES, _count) for part in contents.parts),
        ]
        for content, most, count in rules:
            times = self._own_losses(content, contents, model, count)
            losses = count(times)
            if losses >= most:
                trial_at = max(times) + _trial_interval(losses - most)
                return Verdict(content, losses, trial_at)
        return None

    def snapshot(self) -> Evidence:
        """Return the evidence to give to other daemons."""
        chosen = [
            (content, suspect)
            for content, suspect in self._suspect_by_content.items()
            if len(suspect.loss_by_start) >= _MIN_SNAPSHOT_LOSSES
        ]
        chosen.sort(key=lambda item: (-item[1].most_losses(), item[0]))
        del chosen[_MAX_SNAPSHOT:]
        return Evidence(
            tuple(
                loss
                for _, suspect in chosen
                for loss in suspect.loss_by_start.values()
            ),
            tuple(
                Proof(content, model, at)
                for content, suspect in chosen
                for model, at in suspect.proven_at_by_model.items()
            ),
        )

    def fenced_losses(self) -> frozenset[Loss]:
        """Return the losses of contents that are held to crash upstreams."""
        fenced = [
            suspect
            for suspect in self._suspect_by_content.values()
            if len(suspect.loss_by_start) >= _MAX_PART_LOSSES
            and suspect.most_losses() >= _MAX_PART_LOSSES
        ]
        fenced.sort(key=lambda suspect: -suspect.last_lost_at)
        return frozenset(
            loss
            for suspect in fenced[:_MAX_RECORDED]
            for loss in suspect.loss_by_start.values()
        )

    def prune(self, now: clock.Ms) -> None:
        """Drop contents without recent losses.

        :param now: monotonic ms.
        """
        self._drop(
            content
            for content, suspect in list(self._suspect_by_content.items())
            if now - suspect.last_lost_at >= _retention(suspect)
        )

    def _own_losses(
        self, content: int, contents: Contents, model: int, count: _Counter
    ) -> list[clock.Ms]:
        """Return the times of losses that nothing outside a request explains.

        :param content: of the request.
        :param contents: all contents of the request.
        :param model: digest of its model's name.
        :param count: counts the losses of such a content.
        """
        suspect = self._suspect_by_content.get(content)
        if suspect is None or len(suspect.loss_by_start) < _MAX_REQUEST_LOSSES:
            return []
        losses = suspect.losses(model)
        number = count([loss.at for loss in losses])
        own = contents.all()
        return [
            loss.at
            for loss in losses
            if not self._is_explained(loss, number, model, own)
        ]

    def _is_explained(
        self, loss: Loss, count: int, model: int, own: tuple[int, ...]
    ) -> bool:
        """Return whether a content outside a request explains a loss.

        One whose answer had begun explains it better than one that waited.
        """
        for other in self._contents_by_start[loss.start].difference(own):
            suspect = self._suspect_by_content[other]
            begun = suspect.loss_by_start[loss.start].begun
            if loss.begun and not begun:
                continue
            weight = _BEGUN_WEIGHT if begun else 1
            if weight * suspect.count(model) >= count:
                return True
        return False

    def _drop_weakest(self) -> None:
        """Make room; what is held to crash upstreams is dropped last."""
        ranked = sorted(
            self._suspect_by_content.items(),
            key=lambda item: (item[1].most_losses(), item[1].last_lost_at),
        )
        dropped = ranked[: _MAX_SUSPECTS // _DROPPED_PART]
        self._drop(content for content, _ in dropped)

    def _drop(self, contents: Iterable[int]) -> None:
        for content in contents:
            suspect = self._suspect_by_content.pop(content)
            for start in suspect.loss_by_start:
                self._forget(start, content)

    def _forget(self, start: int, content: int) -> None:
        contents = self._contents_by_start[start]
        contents.discard(content)
        if not contents:
            del self._contents_by_start[start]


def _count(times: Iterable[clock.Ms]) -> int:
    """Return how many losses there are, those of a burst counted as one."""
    ordered = sorted(times)
    count = index = 0
    while index < len(ordered):
        count += 1
        index = bisect.bisect_left(ordered, ordered[index] + _BURST)
    return count


def _trial_interval(failed_trials: int) -> clock.Ms:
    if not failed_trials:
        return _FIRST_TRIAL_AFTER
    return min(_TRIAL_INTERVAL << (failed_trials - 1), _MAX_TRIAL_INTERVAL)


def _retention(suspect: _Suspect) -> clock.Ms:
    is_fenced = suspect.most_losses() >= _MAX_REQUEST_LOSSES
    return _FENCE_RETENTION if is_fenced else _RETENTION
