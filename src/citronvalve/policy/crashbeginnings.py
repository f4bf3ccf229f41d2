"""Detection of beginnings of prompts that crash upstreams."""

import hashlib

from citronvalve.model import clock
from citronvalve.policy import crashevidence
from citronvalve.policy import crashfence
from citronvalve.policy import crashjudge
from citronvalve.policy import crashsuspects

#: Begins the fingerprint of a beginning in crash reports to peers.
_MARK = "beginning:"

#: Losses here from which a beginning is reported to peers: most of what runs
#: on a lost upstream is not lost again.
_MIN_TOLD_LOSSES = 2

#: Beginnings kept for peers.
_MAX_TOLD = 1_000

#: Answered beginnings that are kept.
_MAX_ANSWERED = 10_000

#: Time from the last loss of a beginning to its trial, and between two here;
#: each daemon tries it.
_TRIAL_INTERVAL: clock.Ms = 30_000

#: Beginnings are the same for all models.
_MODEL = 0


class CrashBeginnings:
    """Accuses beginnings of prompts that were lost with upstreams.

    Only different upstreams count.  Peers tell each other losses and not
    answers, so that an answer clears a beginning at one daemon; each one
    tries a beginning before it refuses it for longer.
    """

    def __init__(self) -> None:
        # A request's retry may crash the next upstream at once.
        self._suspects = crashsuspects.CrashSuspects(
            _TRIAL_INTERVAL, unproven_burst=0
        )
        self._doubts_by_upstream: dict[str, set[tuple[str, ...]]] = {}
        self._lost_at_by_prefix: dict[str, dict[str, clock.Ms]] = {}
        self._answered_at_by_prefix: dict[str, clock.Ms] = {}
        self._tried_at_by_content: dict[int, clock.Ms] = {}

    def suspect(self, prefixes: tuple[str, ...], upstream: str) -> None:
        """Record a broken connection, which a crash may have caused.

        :param prefixes: of the request's prompt.
        :param upstream: name of the upstream.
        """
        self._doubts_by_upstream.setdefault(upstream, set()).add(prefixes)

    def confirm_loss(self, upstream: str, now: clock.Ms) -> None:
        """Turn suspicions into losses, as the upstream is gone or restarted.

        :param upstream: its name.
        :param now: monotonic ms.
        """
        for prefixes in self._doubts_by_upstream.pop(upstream, ()):
            self.record_loss(prefixes, upstream, now)

    def clear_suspicions(self, upstream: str) -> None:
        """Drop suspicions, as the upstream reported and did not restart.

        :param upstream: its name.
        """
        self._doubts_by_upstream.pop(upstream, None)

    def record_loss(
        self, prefixes: tuple[str, ...], upstream: str, now: clock.Ms
    ) -> None:
        """Record that an upstream died while it ran a request.

        :param prefixes: of the request's prompt.
        :param upstream: name of the upstream.
        :param now: monotonic ms.
        """
        for prefix in prefixes:
            self._accuse(prefix, upstream, now)
            lost = self._lost_at_by_prefix.setdefault(prefix, {})
            lost[upstream] = now
        while len(self._lost_at_by_prefix) > _MAX_TOLD:
            del self._lost_at_by_prefix[next(iter(self._lost_at_by_prefix))]

    def record_remote_loss(self, loss: crashfence.Loss, now: clock.Ms) -> None:
        """Record a loss that a peer reported, if it is of a beginning.

        :param loss: the peer's report.
        :param now: monotonic ms.
        """
        if loss.fingerprint.startswith(_MARK):
            prefix = loss.fingerprint.removeprefix(_MARK)
            self._accuse(prefix, loss.upstream, now - loss.age)

    def clear(self, prefixes: tuple[str, ...], now: clock.Ms) -> None:
        """Clear the beginnings of a prompt that was answered here.

        :param prefixes: of the prompt.
        :param now: monotonic ms.
        """
        answered = self._answered_at_by_prefix
        for prefix in prefixes:
            answered.pop(prefix, None)
            answered[prefix] = now
            self._lost_at_by_prefix.pop(prefix, None)
            self._prove(prefix, now)
        while len(answered) > _MAX_ANSWERED:
            del answered[next(iter(answered))]

    def admits(self, prefixes: tuple[str, ...], now: clock.Ms) -> bool:
        """Return whether a new request may run, perhaps as a trial.

        :param prefixes: of its prompt.
        :param now: monotonic ms.
        """
        verdict = self._find(prefixes, now)
        if verdict is None:
            return True
        tried_at = self._tried_at_by_content.get(verdict.content)
        if now < verdict.trial_at or (
            tried_at is not None and now - tried_at < _TRIAL_INTERVAL
        ):
            return False
        self._tried_at_by_content[verdict.content] = now
        return True

    def is_fenced(self, prefixes: tuple[str, ...], now: clock.Ms) -> bool:
        """Return whether another attempt at a request is refused.

        :param prefixes: of its prompt.
        :param now: monotonic ms.
        """
        return self._find(prefixes, now) is not None

    def recent_losses(
        self, now: clock.Ms, span: clock.Ms
    ) -> tuple[crashfence.Loss, ...]:
        """Return the losses to send to peers, and drop old ones.

        :param now: monotonic ms.
        :param span: how long a loss counts, in ms.
        """
        self._suspects.prune(now)
        for prefix, lost in list(self._lost_at_by_prefix.items()):
            if all(now - at >= span for at in lost.values()):
                del self._lost_at_by_prefix[prefix]
        for content, tried_at in list(self._tried_at_by_content.items()):
            if now - tried_at >= _TRIAL_INTERVAL:
                del self._tried_at_by_content[content]
        return tuple(
            crashfence.Loss(_MARK + prefix, upstream, now - at)
            for prefix, lost in self._lost_at_by_prefix.items()
            if len(lost) >= _MIN_TOLD_LOSSES
            for upstream, at in lost.items()
        )

    def _find(
        self, prefixes: tuple[str, ...], now: clock.Ms
    ) -> crashjudge.Verdict | None:
        if not self._suspects:
            return None
        contents = crashevidence.Contents(
            0, tuple(_digest(prefix) for prefix in prefixes)
        )
        case = crashjudge.Case(contents, _MODEL, now)
        return self._suspects.judge.find(case)

    def _accuse(self, prefix: str, upstream: str, at: clock.Ms) -> None:
        self._suspects.record_loss(
            crashevidence.Loss(_digest(prefix), _digest(upstream), _MODEL, at)
        )
        answered_at = self._answered_at_by_prefix.get(prefix)
        if answered_at is not None:
            self._prove(prefix, answered_at)

    def _prove(self, prefix: str, at: clock.Ms) -> None:
        if self._suspects:
            self._suspects.record_proof(
                crashevidence.Proof(_digest(prefix), _MODEL, at)
            )


def _digest(name: str) -> int:
    digest = hashlib.blake2b(name.encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")
