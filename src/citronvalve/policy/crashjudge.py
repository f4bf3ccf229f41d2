"""Judgement of requests whose contents were lost with upstreams."""

import collections
from collections.abc import Iterator
from typing import NamedTuple

from citronvalve.model import clock
from citronvalve.policy import crashevidence
from citronvalve.policy import crashsuspect
from citronvalve.policy import loststarts

#: Losses since its last proof from which a content is held to crash upstreams:
#: a whole request as it begins; one at any time, since the longer a run lasts
#: the likelier it is lost by chance; and a part, which sound requests share.
MAX_REQUEST_LOSSES = 3
_MAX_LATE_LOSSES = 4
MAX_PART_LOSSES = 4

#: Losses from which a part that no upstream has survived is held to crash
#: them although other contents explain all but some of its losses: two parts
#: that crash upstreams may be lost together.
_MAX_UNPROVEN_LOSSES = 5
_MIN_UNEXPLAINED_LOSSES = 2

#: Time after the last loss until a fenced content may be tried, once soon and
#: then at intervals that double with each trial that loses another upstream.
FIRST_TRIAL_AFTER: clock.Ms = 1_000
_TRIAL_INTERVAL: clock.Ms = 30_000
_MAX_TRIAL_INTERVAL: clock.Ms = 600_000


class Case(NamedTuple):
    """A request that is judged.

    ``model`` is a digest of its model's name, ``now`` monotonic ms, and
    ``upstreams`` how many run requests, 0 if that is unknown.
    """

    contents: crashevidence.Contents
    model: int
    now: clock.Ms
    upstreams: int = 0


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


class CrashJudge:
    """Tells from losses which requests crash upstreams.

    A content is accused once it has enough losses of its own: those that
    another content explains as well, which was lost about as often, do not
    count against a request without that one.  Requests with either of two
    contents that were always lost together are let through, and show which
    one it is.  Where upstreams crash by chance, each content needs more
    losses.

    :param suspect_by_content: the accused contents.
    :param lost_starts: the upstreams that were lost, and what ran there.
    :param first_trial_after: ms from the loss that fences a content until it
        may be tried.
    """

    def __init__(
        self,
        suspect_by_content: dict[int, crashsuspect.CrashSuspect],
        lost_starts: loststarts.LostStarts,
        first_trial_after: clock.Ms,
    ) -> None:
        self._suspect_by_content = suspect_by_content
        self._lost_starts = lost_starts
        self._first_trial_after = first_trial_after

    def find(self, case: Case) -> Verdict | None:
        """Return the verdict on a request that crashes upstreams, or None.

        :param case: the request.
        """
        for found in self._assess_whole(case):
            if found.is_held:
                own = list(found.unexplained)
                return self._verdict(
                    found.content, own, len(own), found.fewest
                )
        for part in case.contents.parts:
            verdict = self._find_part(part, case)
            if verdict is not None:
                return verdict
        return None

    def assess(self, case: Case) -> Assessment | None:
        """Return what is known of a whole request, None with few losses.

        :param case: the request.
        """
        found = self._assess_whole(case)
        return max(found, key=lambda one: one.losses, default=None)

    def _assess_whole(self, case: Case) -> list[Assessment]:
        """Return what its losses say of a whole request, if there are enough.

        First those as it begins, then all.
        """
        early = self._losses_of(case.contents.whole, case.model)
        starts = {loss.start for loss in early}
        late = [
            loss
            for loss in self._losses_of(case.contents.late, case.model)
            if loss.start not in starts
        ]
        kinds = (early, MAX_REQUEST_LOSSES), (early + late, _MAX_LATE_LOSSES)
        return [
            self._assess(losses, fewest, case)
            for losses, fewest in kinds
            if len(losses) >= fewest
        ]

    def _losses_of(self, content: int, model: int) -> list[crashevidence.Loss]:
        suspect = self._suspect_by_content.get(content)
        return [] if suspect is None else suspect.losses(model)

    def _assess(
        self, losses: list[crashevidence.Loss], fewest: int, case: Case
    ) -> Assessment:
        """Return what some losses say of a whole request.

        ``fewest`` of them are needed if none is by chance.
        """
        accusation = crashsuspect.Accusation(len(losses), None, case.now)
        explaining = {
            loss.start: set(self._explaining(loss, accusation, case))
            for loss in losses
        }
        return Assessment(
            case.contents.whole,
            len(losses),
            tuple(loss.at for loss in losses if not explaining[loss.start]),
            tuple(sorted(set().union(*explaining.values()))),
            fewest + self._chance_losses(losses, case.upstreams),
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
            for start in self._lost_starts.lost_without(losses)
        )
        return loststarts.losses_by_chance(lost, upstreams)

    def _has_held(self, start: int, upstreams: int) -> bool:
        """Return whether a content was lost that many losses speak against.

        :param start: of the lost upstream.
        :param upstreams: how many run requests.
        """
        suspects = map(
            self._suspect_by_content.__getitem__,
            self._lost_starts.contents(start),
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
        if suspect.has_survived or count < MAX_REQUEST_LOSSES:
            return False
        if count >= MAX_PART_LOSSES:
            return True
        losses = list(suspect.loss_by_start.values())
        lost = len(self._lost_starts.lost_without(losses))
        by_chance = loststarts.losses_by_chance(lost, upstreams)
        return count >= MAX_REQUEST_LOSSES + by_chance

    def _find_part(self, part: int, case: Case) -> Verdict | None:
        suspect = self._accused(part)
        if suspect is None:
            return None
        count, losses = suspect.count(case.model), suspect.losses(case.model)
        if count < MAX_REQUEST_LOSSES:
            return None
        accusation = crashsuspect.Accusation(
            count, suspect.has_survived, case.now
        )
        own = self._unexplained(losses, accusation, case)
        own_count = suspect.count_apart(own)
        may_be_shared = (
            not suspect.has_survived and own_count >= _MIN_UNEXPLAINED_LOSSES
        )
        if own_count < MAX_PART_LOSSES and not may_be_shared:
            return None
        by_chance = self._chance_losses(losses, case.upstreams)
        if self._is_lost_beside_another(losses, by_chance, case):
            return None
        if own_count >= MAX_PART_LOSSES + by_chance:
            return self._verdict(part, own, own_count, MAX_PART_LOSSES)
        if may_be_shared and count >= _MAX_UNPROVEN_LOSSES + by_chance:
            times = [loss.at for loss in losses]
            return self._verdict(part, times, count, _MAX_UNPROVEN_LOSSES)
        return None

    def _is_lost_beside_another(
        self,
        losses: list[crashevidence.Loss],
        by_chance: int,
        case: Case,
    ) -> bool:
        """Return whether a part was lost with one content but for chance.

        That content, outside the request, explains the part's other losses
        unless an upstream has survived it.

        :param losses: of the part.
        :param by_chance: how many of them may be by chance.
        :param case: the request.
        """
        if not by_chance:
            return False
        own = case.contents.all()
        shared = collections.Counter(
            other
            for loss in losses
            for other in self._lost_starts.contents(loss.start)
            if other not in own
        )
        return any(
            not self._suspect_by_content[other].has_survived
            for other, count in shared.items()
            if count >= len(losses) - by_chance
        )

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
        if suspect is None or len(suspect.loss_by_start) < MAX_REQUEST_LOSSES:
            return None
        return suspect

    def _unexplained(
        self,
        losses: list[crashevidence.Loss],
        accusation: crashsuspect.Accusation,
        case: Case,
    ) -> list[clock.Ms]:
        """Return the times of losses that nothing outside a request explains.

        ``losses`` and ``accusation`` are those of one of its contents.
        """
        return [
            loss.at
            for loss in losses
            if next(self._explaining(loss, accusation, case), None) is None
        ]

    def _explaining(
        self,
        loss: crashevidence.Loss,
        accusation: crashsuspect.Accusation,
        case: Case,
    ) -> Iterator[int]:
        """Yield the contents outside a request that explain a loss."""
        enough = accusation.fewest_explaining
        own = case.contents.all()
        for other in self._lost_starts.contents(loss.start):
            suspect = self._suspect_by_content[other]
            # Most of what runs on a lost upstream is not lost again.
            if (
                len(suspect.loss_by_start) >= enough
                and other not in own
                and suspect.explains(loss, accusation, case.model)
            ):
                yield other


def _trial_interval(failed_trials: int) -> clock.Ms:
    return min(_TRIAL_INTERVAL << (failed_trials - 1), _MAX_TRIAL_INTERVAL)
