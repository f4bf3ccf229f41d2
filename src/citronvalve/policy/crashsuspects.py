"""Contents of requests that may crash the upstreams they run on."""

from collections.abc import Iterable
from typing import NamedTuple

from citronvalve.model import clock
from citronvalve.policy import crashevidence
from citronvalve.policy import crashsuspect
from citronvalve.policy import loststarts

#: Losses since its last proof from which a content is held to crash upstreams:
#: a whole request as it begins; one at any time, since the longer a run lasts
#: the likelier it is lost by chance; and a part, which sound requests share.
_MAX_REQUEST_LOSSES = 3
_MAX_LATE_LOSSES = 4
_MAX_PART_LOSSES = 4

#: Losses from which a part that no upstream has survived is held to crash
#: them although other contents explain all but some of its losses: two parts
#: that crash upstreams may be lost together.
_MAX_UNPROVEN_LOSSES = 5
_MIN_UNEXPLAINED_LOSSES = 2

#: Time after its last loss for which a content is kept, and for which one is
#: that is held to crash upstreams.
_RETENTION: clock.Ms = 300_000
_FENCE_RETENTION: clock.Ms = 1_800_000

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


class Verdict(NamedTuple):
    """A content that crashes upstreams; may be tried from ``trial_at`` on."""

    content: int
    losses: int
    trial_at: clock.Ms


class Assessment(NamedTuple):
    """What speaks for and against a whole request.

    ``losses`` is the number of its losses, ``unexplained`` the times of those
    that no content in ``explaining`` explains, in monotonic ms.  It is held
    to crash upstreams with ``needed`` of them, ``fewest`` of which would do if
    no upstream crashed by chance.
    """

    content: int
    losses: int
    unexplained: tuple[clock.Ms, ...]
    explaining: tuple[int, ...]
    needed: int
    fewest: int

    @property
    def is_held(self) -> bool:
        """Return whether the request is held to crash upstreams."""
        return len(self.unexplained) >= self.needed


class CrashSuspects:
    """Finds out which contents crash upstreams, from losses and proofs.

    A lost upstream takes all requests down that it ran, so that each loss
    accuses all their contents.  A content that an upstream wrote an answer on
    without a crash is cleared.  What remains is accused once it has enough
    losses of its own: those that another content explains as well, which was
    lost about as often, do not count against a request without that one.
    Requests with either of two contents that were always lost together are
    let through, and show which one it is.  Where upstreams crash by chance,
    each content needs more losses.

    :param first_trial_after: ms from the loss that fences a content until it
        may be tried.
    :param unproven_burst: ms within which losses of a part count as one as
        long as no upstream has survived it.
    :ivar lost_starts: the upstreams that were lost, and what ran there.
    """

    def __init__(
        self,
        first_trial_after: clock.Ms = _FIRST_TRIAL_AFTER,
        unproven_burst: clock.Ms = crashsuspect.BURST,
    ) -> None:
        self._first_trial_after = first_trial_after
        self._unproven_burst = unproven_burst
        self._suspect_by_content: dict[int, crashsuspect.CrashSuspect] = {}
        self.lost_starts = loststarts.LostStarts()

    def __len__(self) -> int:
        return len(self._suspect_by_content)

    def record_loss(self, loss: crashevidence.Loss) -> bool:
        """Record a loss; return whether it is new.

        :param loss: seen here or by another daemon.
        """
        suspect = self._suspect_by_content.get(loss.content)
        if suspect is None:
            if len(self._suspect_by_content) >= _MAX_SUSPECTS:
                self._drop_weakest()
            suspect = self._suspect_by_content[loss.content] = (
                crashsuspect.CrashSuspect(self._unproven_burst)
            )
        if not suspect.add(loss):
            return False
        self.lost_starts.add(loss)
        if len(suspect.loss_by_start) > _MAX_STARTS:
            dropped = suspect.drop_oldest()
            self.lost_starts.forget(dropped, loss.content)
            return dropped != loss.start
        return True

    def record_proof(self, proof: crashevidence.Proof) -> int:
        """Record a proof; return the number of losses that it clears.

        :param proof: seen here or by another daemon.
        """
        suspect = self._suspect_by_content.get(proof.content)
        return 0 if suspect is None else suspect.clear(proof.model, proof.at)

    def merge(self, evidence: crashevidence.Evidence) -> None:
        """Record what another daemon knows.

        :param evidence: its losses and proofs.
        """
        for loss in evidence.losses:
            self.record_loss(loss)
        for proof in evidence.proofs:
            self.record_proof(proof)

    def find(
        self,
        contents: crashevidence.Contents,
        model: int,
        now: clock.Ms,
        upstreams: int = 0,
    ) -> Verdict | None:
        """Return the verdict on a request that crashes upstreams, or None.

        :param contents: of the request.
        :param model: digest of its model's name.
        :param now: monotonic ms.
        :param upstreams: how many run requests.
        """
        where = contents, model, now, upstreams
        verdict = next(
            (
                self._verdict(
                    contents.whole,
                    list(found.unexplained),
                    len(found.unexplained),
                    found.fewest,
                )
                for found in self._assess_whole(*where)
                if found.is_held
            ),
            None,
        )
        for part in contents.parts:
            verdict = verdict or self._find_part(part, *where)
        return verdict

    def assess(
        self,
        contents: crashevidence.Contents,
        model: int,
        now: clock.Ms,
        upstreams: int = 0,
    ) -> Assessment | None:
        """Return what is known of a whole request, None with few losses.

        :param contents: of the request.
        :param model: digest of its model's name.
        :param now: monotonic ms.
        :param upstreams: how many run requests.
        """
        found = self._assess_whole(contents, model, now, upstreams)
        return max(found, key=lambda one: one.losses, default=None)

    def snapshot(self) -> crashevidence.Evidence:
        """Return the evidence to give to other daemons."""
        chosen = [
            (content, suspect)
            for content, suspect in self._suspect_by_content.items()
            if len(suspect.loss_by_start) >= _MIN_SNAPSHOT_LOSSES
        ]
        chosen.sort(key=lambda item: (-item[1].most_losses(), item[0]))
        del chosen[_MAX_SNAPSHOT:]
        return crashevidence.Evidence(
            tuple(
                loss
                for _, suspect in chosen
                for loss in suspect.loss_by_start.values()
            ),
            tuple(
                crashevidence.Proof(content, model, at)
                for content, suspect in chosen
                for model, at in suspect.proven_at_by_model.items()
            ),
        )

    def fenced_losses(self) -> frozenset[crashevidence.Loss]:
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

    def _assess_whole(
        self,
        contents: crashevidence.Contents,
        model: int,
        now: clock.Ms,
        upstreams: int,
    ) -> list[Assessment]:
        """Return what its losses say of a whole request, if there are enough.

        First those as it begins, then all.
        """
        early = self._losses_of(contents.whole, model)
        starts = {loss.start for loss in early}
        late = [
            loss
            for loss in self._losses_of(contents.late, model)
            if loss.start not in starts
        ]
        kinds = (early, _MAX_REQUEST_LOSSES), (early + late, _MAX_LATE_LOSSES)
        return [
            self._assess(losses, fewest, contents, model, now, upstreams)
            for losses, fewest in kinds
            if len(losses) >= fewest
        ]

    def _losses_of(self, content: int, model: int) -> list[crashevidence.Loss]:
        suspect = self._suspect_by_content.get(content)
        return [] if suspect is None else suspect.losses(model)

    def _assess(
        self,
        losses: list[crashevidence.Loss],
        fewest: int,
        contents: crashevidence.Contents,
        model: int,
        now: clock.Ms,
        upstreams: int,
    ) -> Assessment:
        """Return what some losses say of a whole request.

        ``fewest`` of them are needed if none is by chance.
        """
        accusation = crashsuspect.Accusation(len(losses), None, now)
        explaining = {
            loss.start: self._explaining(
                loss, accusation, contents.all(), model
            )
            for loss in losses
        }
        return Assessment(
            contents.whole,
            len(losses),
            tuple(loss.at for loss in losses if not explaining[loss.start]),
            tuple(sorted(set().union(*explaining.values()))),
            fewest + self._chance_losses(losses, upstreams),
            fewest,
        )

    def _chance_losses(
        self,
        losses: list[crashevidence.Loss],
        upstreams: int,
    ) -> int:
        """Return how many losses of a content may be by chance.

        Upstreams that were lost with another content that is held to crash
        them were not lost by chance.

        :param losses: that count against it.
        :param upstreams: how many run requests.
        """
        lost = sum(
            not self._has_held(start, upstreams)
            for start in self.lost_starts.lost_without(losses)
        )
        return loststarts.losses_by_chance(lost, upstreams)

    def _has_held(self, start: int, upstreams: int) -> bool:
        """Return whether a content was lost that many losses speak against.

        :param start: of the lost upstream.
        :param upstreams: how many run requests.
        """
        suspects = map(
            self._suspect_by_content.__getitem__,
            self.lost_starts.contents(start),
        )
        return any(self._is_held(suspect, upstreams) for suspect in suspects)

    def _is_held(
        self, suspect: crashsuspect.CrashSuspect, upstreams: int
    ) -> bool:
        """Return whether upstreams were not lost by chance with a content.

        One that upstreams have survived is often one that many requests
        share, which most losses by chance take.
        """
        count = suspect.most_losses()
        if suspect.has_survived or count < _MAX_REQUEST_LOSSES:
            return False
        if count >= _MAX_PART_LOSSES:
            return True
        losses = list(suspect.loss_by_start.values())
        lost = len(self.lost_starts.lost_without(losses))
        by_chance = loststarts.losses_by_chance(lost, upstreams)
        return count >= _MAX_REQUEST_LOSSES + by_chance

    def _find_part(
        self,
        part: int,
        contents: crashevidence.Contents,
        model: int,
        now: clock.Ms,
        upstreams: int,
    ) -> Verdict | None:
        suspect = self._accused(part)
        if suspect is None:
            return None
        count, losses = suspect.count(model), suspect.losses(model)
        if count < _MAX_REQUEST_LOSSES:
            return None
        accusation = crashsuspect.Accusation(count, suspect.has_survived, now)
        own = self._unexplained(losses, accusation, contents, model)
        own_count = suspect.count_apart(own)
        by_chance = self._chance_losses(losses, upstreams)
        if own_count >= _MAX_PART_LOSSES + by_chance:
            return self._verdict(part, own, own_count, _MAX_PART_LOSSES)
        if suspect.has_survived or own_count < _MIN_UNEXPLAINED_LOSSES:
            return None
        if count < _MAX_UNPROVEN_LOSSES + by_chance:
            return None
        times = [loss.at for loss in losses]
        return self._verdict(part, times, count, _MAX_UNPROVEN_LOSSES)

    def _verdict(
        self, content: int, times: list[clock.Ms], losses: int, most: int
    ) -> Verdict | None:
        """Return the verdict on a content, None with too few losses."""
        if losses < most:
            return None
        wait = self._first_trial_after
        if losses > most:
            wait = _trial_interval(losses - most)
        return Verdict(content, losses, max(times) + wait)

    def _accused(self, content: int) -> crashsuspect.CrashSuspect | None:
        """Return a content that may have enough losses to be refused."""
        suspect = self._suspect_by_content.get(content)
        if suspect is None or len(suspect.loss_by_start) < _MAX_REQUEST_LOSSES:
            return None
        return suspect

    def _unexplained(
        self,
        losses: list[crashevidence.Loss],
        accusation: crashsuspect.Accusation,
        contents: crashevidence.Contents,
        model: int,
    ) -> list[clock.Ms]:
        """Return the times of losses that nothing outside a request explains.

        ``losses`` and ``accusation`` are those of one of its contents.
        """
        own = contents.all()
        return [
            loss.at
            for loss in losses
            if not self._explaining(loss, accusation, own, model)
        ]

    def _explaining(
        self,
        loss: crashevidence.Loss,
        accusation: crashsuspect.Accusation,
        own: tuple[int, ...],
        model: int,
    ) -> set[int]:
        """Return the contents outside a request that explain a loss."""
        enough = accusation.fewest_explaining
        found = set()
        for other in self.lost_starts.contents(loss.start):
            suspect = self._suspect_by_content[other]
            # Most of what runs on a lost upstream is not lost again.
            if (
                len(suspect.loss_by_start) >= enough
                and other not in own
                and suspect.explains(loss, accusation, model)
            ):
                found.add(other)
        return found

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
                self.lost_starts.forget(start, content)


def _trial_interval(failed_trials: int) -> clock.Ms:
    return min(_TRIAL_INTERVAL << (failed_trials - 1), _MAX_TRIAL_INTERVAL)


def _retention(suspect: crashsuspect.CrashSuspect) -> clock.Ms:
    is_fenced = suspect.most_losses() >= _MAX_REQUEST_LOSSES
    return _FENCE_RETENTION if is_fenced else _RETENTION
