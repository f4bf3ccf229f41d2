"""Detection of requests that crash their upstreams."""

from collections.abc import Callable
import enum
from typing import NamedTuple

from citronvalve.forward import connectionpool
from citronvalve.forward import connector as connectors
from citronvalve.forward import crashdigests
from citronvalve.forward import directory as directories
from citronvalve.forward import environment as environments
from citronvalve.forward import exchangeerror
from citronvalve.forward import routedrequest
from citronvalve.model import clock
from citronvalve.model import refusal
from citronvalve.policy import crashdoubts
from citronvalve.policy import crashevidence
from citronvalve.policy import crashjudge
from citronvalve.policy import crashsuspects

_Losses = list[crashevidence.Loss]
_Proofs = list[crashevidence.Proof]

#: Time for which an upstream has to write an answer until the parts of its
#: prompt are cleared.
_PROOF_TIME: clock.Ms = 250

#: Time within which a trial of a fenced content has ended.
_TRIAL_TIME: clock.Ms = 10_000

#: Bytes of a part's id that are logged.
_MAX_SHOWN = 32


class CrashCheck(enum.StrEnum):
    """What is found of an upstream after a run on it broke."""

    LOST = "lost"
    LISTENING = "listening"
    #: No daemon can tell whether the upstream or the link is lost.
    NO_LINK = "no link"
    #: No link, and the daemons with one are to leave the upstream alone.
    RESTING = "resting"
    #: It ended in a way that a crash does not explain.
    UNCHECKED = "unchecked"


_CHECK_BY_FAILURE = {
    exchangeerror.ExchangeFailure.NO_LINK: CrashCheck.NO_LINK,
    exchangeerror.ExchangeFailure.RESTING: CrashCheck.RESTING,
}


class Run(NamedTuple):
    """A request's run at an upstream.

    ``start_id`` is of the upstream's start.  ``answered_at`` is when the head
    of the response arrived, ``writing_since`` when the first data of its body
    did, ``proven_at`` when its parts were last cleared; monotonic ms, None
    before.
    """

    target: connectors.Target
    start_id: int = 0
    answered_at: clock.Ms | None = None
    writing_since: clock.Ms | None = None
    proven_at: clock.Ms | None = None


class CrashDetector:
    """Accuses contents of requests that were lost with upstreams.

    Callers retry such a request at any daemon, and other requests may have a
    part of its prompt: unless they are refused, they crash one upstream after
    the other.  Contents are the whole request, and each part of the prompt
    that requests share.

    :param env: the daemon's environment.
    :param pool: checks whether an upstream still accepts connections.
    :param directory: the upstreams.
    :ivar suspects: the accused contents.
    :ivar on_crash: called with new losses, to inform other daemons.
    :ivar on_proof: called with proofs that clear losses.
    :ivar may_try: returns whether this daemon alone may try fenced contents.
    :ivar wait_known: waits for what other daemons know, until a time in
        monotonic ms at most.
    """

    def __init__(
        self,
        env: environments.Environment,
        pool: connectionpool.ConnectionPool,
        directory: directories.Directory,
    ) -> None:
        self._env = env
        self._pool = pool
        self._directory = directory
        self._trial_until_by_content: dict[int, clock.Ms] = {}
        self._doubts = crashdoubts.CrashDoubts()
        self.suspects = crashsuspects.CrashSuspects()
        self.on_crash: Callable[[_Losses], None] = lambda _: None
        self.on_proof: Callable[[_Proofs], None] = lambda _: None
        self.may_try: Callable[[], bool] = lambda: False
        self.wait_known: Callable[[clock.Ms], None] = lambda _: None

    def admit(
        self, routed: routedrequest.RoutedRequest
    ) -> refusal.Refusal | None:
        """Return the refusal of a request that crashes upstreams, or None.

        One daemon lets a request with a fenced content pass from time to
        time, to find out whether it still crashes upstreams.

        :param routed: the request.
        """
        self.wait_known(routed.deadline)
        verdict = self._find(routed)
        if verdict is None:
            self._log_accused(routed)
            return None
        if self._begin_trial(verdict, routed.id):
            return None
        return self._refuse(routed, verdict)

    def find_refusal(
        self, routed: routedrequest.RoutedRequest
    ) -> refusal.Refusal | None:
        """Return the refusal of another attempt at a request, or None.

        :param routed: the request.
        """
        verdict = self._find(routed)
        return None if verdict is None else self._refuse(routed, verdict)

    def check_upstream(
        self, routed: routedrequest.RoutedRequest, run: Run
    ) -> None:
        """Check whether an upstream is down after its connection broke.

        Called before the request is retried; otherwise the next upstream
        would be chosen before this loss is counted.

        :param routed: the request that ran on the connection.
        :param run: its run.
        """
        broke_at = self._env.clock.now()
        found, why = self._check(run.target)
        self._env.metrics.record_crash_check(found)
        lost_at = self.suspects.lost_starts.lost_at(_start_of(run))
        if found is CrashCheck.LOST:
            self._record_loss(routed, run, broke_at, why)
        elif lost_at is not None and crashdoubts.is_same_time(
            broke_at, lost_at
        ):
            self._record_loss(routed, run, broke_at, "lost with others")
        else:
            # The connection may have broken with the link.
            self._log_run("broken run not counted", routed, run, found, why)
            losses = self._losses(routed, run, broke_at)
            self._doubts.add(run.target.upstream, losses)

    def merge(self, evidence: crashevidence.Evidence) -> None:
        """Record what another daemon knows.

        :param evidence: its losses and proofs.
        """
        self.suspects.merge(evidence)
        lost_at_by_start = {loss.start: loss.at for loss in evidence.losses}
        for start, at in lost_at_by_start.items():
            self._confirm(self._doubts.confirm(start, at), "lost with others")

    def record_restart(self, upstream: str, start_id: int) -> None:
        """Record that the list shows a later start of an upstream.

        :param upstream: its id.
        :param start_id: of the later start.
        """
        start = crashdigests.start(upstream, start_id)
        now = self._env.clock.now()
        losses = self._doubts.confirm_earlier(upstream, start, now)
        self._confirm(losses, "started again")

    def record_gone(self, upstream: str) -> None:
        """Record that the list does not show an upstream any more.

        :param upstream: its id.
        """
        now = self._env.clock.now()
        losses = self._doubts.confirm_earlier(upstream, None, now)
        self._confirm(losses, "left the list")

    def record_unchecked(
        self, routed: routedrequest.RoutedRequest, run: Run, why: str
    ) -> None:
        """Record a run that was given up without a broken connection.

        :param routed: the request.
        :param run: its run.
        :param why: how it ended.
        """
        found = CrashCheck.UNCHECKED
        self._env.metrics.record_crash_check(found)
        if self.suspects:
            self._log_run("broken run not counted", routed, run, found, why)

    def record_data(
        self, routed: routedrequest.RoutedRequest, run: Run
    ) -> Run:
        """Record that a run has sent data; return the run as it is now.

        :param routed: the request.
        :param run: its run.
        """
        now = self._env.clock.now()
        if run.writing_since is None:
            return run._replace(writing_since=now)
        last = run.writing_since if run.proven_at is None else run.proven_at
        if now - last < _PROOF_TIME:
            return run
        self._record_proof(routed, _parts(routed))
        return run._replace(proven_at=now)

    def record_answer(self, routed: routedrequest.RoutedRequest) -> None:
        """Clear all contents of a request that was answered whole.

        :param routed: the request.
        """
        proven = _parts(routed)
        if self.suspects:
            proven = self._contents(routed).all()
        self._record_proof(routed, proven)

    def _find(
        self, routed: routedrequest.RoutedRequest
    ) -> crashjudge.Verdict | None:
        if not self.suspects:
            return None
        return self.suspects.judge.find(self._case(routed))

    def _case(self, routed: routedrequest.RoutedRequest) -> crashjudge.Case:
        return crashjudge.Case(
            self._contents(routed),
            crashdigests.model(routed.model),
            self._env.clock.now(),
            self._directory.upstream_count(),
        )

    def _log_accused(self, routed: routedrequest.RoutedRequest) -> None:
        """Log why a request that was lost often enough is not refused."""
        if not self.suspects:
            return
        accused = self.suspects.judge.assess(self._case(routed))
        if accused is None:
            return
        self._env.log.note(
            "accused request let pass",
            routed.id,
            content=crashdigests.shown(accused.content),
            losses=accused.losses,
            unexplained=len(accused.unexplained),
            needed=accused.needed,
            explained_by=[
                crashdigests.shown(content) for content in accused.explaining
            ],
        )

    def _check(self, target: connectors.Target) -> tuple[CrashCheck, str]:
        """Return what is found of an upstream, and why.

        :param target: the upstream.
        """
        try:
            self._pool.check_listening(target)
        except exchangeerror.ExchangeError as error:
            found = _CHECK_BY_FAILURE.get(error.failure, CrashCheck.LOST)
            return found, str(error)
        return CrashCheck.LISTENING, "the upstream accepts connections"

    def _log_run(
        self,
        event: str,
        routed: routedrequest.RoutedRequest,
        run: Run,
        found: CrashCheck,
        why: str,
    ) -> None:
        self._env.log.change(
            event,
            request=routed.id,
            upstream=run.target.upstream,
            start_id=run.start_id,
            contents=[
                crashdigests.shown(content)
                for content in self._contents(routed).all()
            ],
            team=_team(routed),
            found=found,
            why=why,
        )

    def _begin_trial(
        self, verdict: crashjudge.Verdict, request_id: str
    ) -> bool:
        """Return whether a request may run though its content is fenced."""
        now = self._env.clock.now()
        if now < verdict.trial_at or not self.may_try():
            return False
        until_by_content = self._trial_until_by_content
        if now < until_by_content.get(verdict.content, 0):
            return False
        for content, until in list(until_by_content.items()):
            if until <= now:
                del until_by_content[content]
        until_by_content[verdict.content] = now + _TRIAL_TIME
        self._env.log.change(
            "fenced content tried",
            request=request_id,
            content=crashdigests.shown(verdict.content),
            losses=verdict.losses,
        )
        return True

    def _refuse(
        self,
        routed: routedrequest.RoutedRequest,
        verdict: crashjudge.Verdict,
    ) -> refusal.Refusal:
        what = "this request"
        for part in routed.shared_parts:
            if crashdigests.part(routed.service.name, part) == verdict.content:
                what = f"requests with the part {_shown(part)} of its prompt"
        return refusal.Refusal(
            refusal.RefusalKind.NO_UPSTREAM,
            f"{verdict.losses} upstreams were lost while running {what}",
            "change the request before sending it again",
        )

    def _losses(
        self,
        routed: routedrequest.RoutedRequest,
        run: Run,
        broke_at: clock.Ms,
    ) -> _Losses:
        """Return what a run accuses if its upstream was lost."""
        writing = run.writing_since
        is_cleared = writing is not None and broke_at - writing >= _PROOF_TIME
        contents = self._contents(routed)
        accused = (contents.late,) if is_cleared else contents.begun()
        start, model = _start_of(run), crashdigests.model(routed.model)
        begun = run.answered_at is not None
        return [
            crashevidence.Loss(content, start, model, broke_at, begun)
            for content in accused
        ]

    def _record_loss(
        self,
        routed: routedrequest.RoutedRequest,
        run: Run,
        broke_at: clock.Ms,
        why: str,
    ) -> None:
        losses = self._losses(routed, run, broke_at)
        self._env.log.change(
            "upstream lost with a request",
            request=routed.id,
            upstream=run.target.upstream,
            start_id=run.start_id,
            contents=[crashdigests.shown(loss.content) for loss in losses],
            team=_team(routed),
            parts=[_shown(part) for part in routed.shared_parts],
            answered_ms=_age(run.answered_at, broke_at),
            writing_ms=_age(run.writing_since, broke_at),
            why=why,
        )
        self._accuse(losses)
        doubted = self._doubts.confirm(_start_of(run), broke_at)
        self._confirm(doubted, "lost with others")

    def _confirm(self, losses: _Losses, why: str) -> None:
        """Accuse what broken runs accuse, as their upstream was lost."""
        if not losses:
            return
        self._env.log.change(
            "broken runs confirmed",
            contents=[crashdigests.shown(loss.content) for loss in losses],
            why=why,
        )
        self._accuse(losses)

    def _accuse(self, losses: _Losses) -> None:
        new = [loss for loss in losses if self.suspects.record_loss(loss)]
        if new:
            self.on_crash(new)

    def _record_proof(
        self, routed: routedrequest.RoutedRequest, contents: tuple[int, ...]
    ) -> None:
        now = self._env.clock.now()
        model = crashdigests.model(routed.model)
        proofs = [
            crashevidence.Proof(content, model, now) for content in contents
        ]
        clearing = [
            proof for proof in proofs if self.suspects.record_proof(proof)
        ]
        if clearing:
            self.on_proof(clearing)

    def _contents(
        self, routed: routedrequest.RoutedRequest
    ) -> crashevidence.Contents:
        whole = crashdigests.whole(routed.request, _team(routed))
        return crashevidence.Contents(
            whole, _parts(routed), crashdigests.late(whole)
        )


def _parts(routed: routedrequest.RoutedRequest) -> tuple[int, ...]:
    service = routed.service.name
    return tuple(
        crashdigests.part(service, part) for part in routed.shared_parts
    )


def _team(routed: routedrequest.RoutedRequest) -> str:
    return routed.key_holder.name if routed.key_holder else ""


def _start_of(run: Run) -> int:
    return crashdigests.start(run.target.upstream, run.start_id)


def _age(at: clock.Ms | None, now: clock.Ms) -> clock.Ms | None:
    return None if at is None else now - at


def _shown(part: bytes) -> str:
    """Return a part as it is logged; ids from callers may be long."""
    return part[:_MAX_SHOWN].decode("latin-1")
