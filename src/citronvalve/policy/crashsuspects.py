"""Contents of requests that may crash the upstreams they run on."""

from collections.abc import Iterable

from citronvalve.model import clock
from citronvalve.policy import crashevidence
from citronvalve.policy import crashjudge
from citronvalve.policy import crashsuspect
from citronvalve.policy import earlierproofs
from citronvalve.policy import loststarts

#: Time after its last loss for which a content is kept, and for which one is
#: that is held to crash upstreams.
_RETENTION: clock.Ms = 300_000
_FENCE_RETENTION: clock.Ms = 1_800_000

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


class CrashSuspects:
    """Finds out which contents crash upstreams, from losses and proofs.

    A lost upstream takes all requests down that it ran, so that each loss
    accuses all their contents.  A content that an upstream wrote an answer on
    without a crash is cleared.  Of what remains, losses are judged by
    :class:`crashjudge.CrashJudge`.

    :param first_trial_after: ms from the loss that fences a content until it
        may be tried.
    :param unproven_burst: ms within which losses of a part count as one as
        long as no upstream has survived it.
    :ivar lost_starts: the upstreams that were lost, and what ran there.
    :ivar judge: tells which requests crash upstreams.
    """

    def __init__(
        self,
        first_trial_after: clock.Ms = crashjudge.FIRST_TRIAL_AFTER,
        unproven_burst: clock.Ms = crashsuspect.BURST,
    ) -> None:
        self._unproven_burst = unproven_burst
        self._suspect_by_content: dict[int, crashsuspect.CrashSuspect] = {}
        self._earlier_proofs = earlierproofs.EarlierProofs()
        self.lost_starts = loststarts.LostStarts()
        self.judge = crashjudge.CrashJudge(
            self._suspect_by_content, self.lost_starts, first_trial_after
        )

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
            for proof in self._earlier_proofs.take(loss.content, loss.at):
                suspect.clear(proof.model, proof.at)
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
        if suspect is None:
            self._earlier_proofs.add(proof)
            return 0
        return suspect.clear(proof.model, proof.at)

    def merge(self, evidence: crashevidence.Evidence) -> None:
        """Record what another daemon knows.

        :param evidence: its losses and proofs.
        """
        for loss in evidence.losses:
            self.record_loss(loss)
        for proof in evidence.proofs:
            self.record_proof(proof)

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
            if len(suspect.loss_by_start) >= crashjudge.MAX_PART_LOSSES
            and suspect.most_losses() >= crashjudge.MAX_PART_LOSSES
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


def _retention(suspect: crashsuspect.CrashSuspect) -> clock.Ms:
    is_fenced = suspect.most_losses() >= crashjudge.MAX_REQUEST_LOSSES
    return _FENCE_RETENTION if is_fenced else _RETENTION
