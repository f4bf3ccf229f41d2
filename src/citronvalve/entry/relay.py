"""Relays one answer, resuming it on other upstreams after failures."""

from collections.abc import Iterator
import itertools

from citronvalve.entry import dispatch as dispatches
from citronvalve.entry import environment as environments
from citronvalve.entry import work as works
from citronvalve.model import clock
from citronvalve.model import ran
from citronvalve.model import refusal
from citronvalve.upstreams import assembler as assemblers
from citronvalve.upstreams import engineclient
from citronvalve.upstreams import enginestream
from citronvalve.upstreams import failure
from citronvalve.upstreams import heartbeat
from citronvalve.upstreams import nextattempt
from citronvalve.upstreams import order as orders
from citronvalve.upstreams import resumption

#: Text to relay, a heartbeat, or why there is no complete answer; a
#: refusal is the last item.
Item = str | heartbeat.Heartbeat | refusal.Refusal

_ENDING_BY_KIND = {
    failure.FailureKind.BROKEN: dispatches.Ending.BROKEN,
    failure.FailureKind.SILENT: dispatches.Ending.SILENT,
    failure.FailureKind.DIVERGED: dispatches.Ending.DIVERGED,
    failure.FailureKind.UNREACHED: dispatches.Ending.NOT_RUN,
    failure.FailureKind.NOT_OPENED: dispatches.Ending.NOT_OPENED,
    failure.FailureKind.REFUSED: dispatches.Ending.REFUSED,
}


class Relay:
    """Iterates over one caller's answer, over all attempts.

    :param env: the daemon's environment.
    :param dispatch: places each attempt on an upstream.
    :param client: sends attempts to engines.
    :param work: the request as used for placement.
    :param messages: the conversation.
    :ivar finish: the engine's finish reason; empty until the last piece.
    """

    def __init__(
        self,
        env: environments.Environment,
        dispatch: dispatches.Dispatch,
        client: engineclient.EngineClient,
        work: works.Work,
        messages: list[orders.Message],
    ) -> None:
        self._env = env
        self._dispatch = dispatch
        self._client = client
        self._work = work
        self._messages = messages
        self._answer = assemblers.Assembler(work.request, env.invariants)
        self._resumption = resumption.Resumption(self._answer, work.deadline)
        self._ran = ran.Ran.NO

    @property
    def finish(self) -> str:
        """Return the engine's finish reason."""
        return self._answer.finish

    def __iter__(self) -> Iterator[Item]:
        next_attempt: nextattempt.NextAttempt | refusal.Refusal = (
            dispatches.FIRST_ATTEMPT
        )
        attempt_numbers = itertools.count(1)
        while isinstance(next_attempt, nextattempt.NextAttempt):
            placement = self._dispatch.place(self._work, next_attempt)
            if isinstance(placement, refusal.Refusal):
                next_attempt = placement
                break
            # Each attempt has its own id: the cancellation of a failed one
            # may arrive after the next has started on the same engine, and
            # would cancel that one too.
            self._answer.request = (
                f"{self._work.request}.{next(attempt_numbers)}"
            )
            cause = yield from self._attempt(placement, next_attempt.offset)
            if cause is None:
                return
            self._env.metrics.record_resume(cause.kind)
            next_attempt = self._resumption.decide(
                cause, placement.upstream, self._env.clock.now()
            )
        yield next_attempt._replace(ran=self._ran)

    def _attempt(
        self, placement: dispatches.Placement, offset: int
    ) -> Iterator[Item | failure.Failure]:
        # If the caller disconnects, GeneratorExit is raised here; the slot
        # on the upstream must be released in that case too.
        ending = dispatches.Ending.ABANDONED
        try:
            stream = self._client.generate(
                placement.address,
                self._order(placement, offset),
                self._remaining(),
            )
            if isinstance(stream, failure.Failure):
                cause = stream
            else:
                cause = yield from self._read_stream(stream, placement)
            ending = self._ending(cause)
            return cause
        finally:
            self._dispatch.release(placement, ending)

    def _read_stream(
        self,
        stream: enginestream.EngineStream,
        placement: dispatches.Placement,
    ) -> Iterator[Item | failure.Failure]:
        if self._ran is ran.Ran.NO:
            self._ran = ran.Ran.UNKNOWN
        complete = False
        try:
            for item in stream:
                if item is heartbeat.HEARTBEAT:
                    yield item
                    continue
                cause = yield from self._accept(item)
                if cause is not None:
                    return self._client.handle_failure(
                        cause, placement.address
                    )
                if self._answer.finished:
                    complete = True
                    stream.drain()
                    return None
        finally:
            stream.close()
            if not complete:
                self._client.cancel(placement.address, self._answer.request)

    def _accept(self, item) -> Iterator[Item | failure.Failure]:
        if isinstance(item, failure.Failure):
            return item
        text = self._answer.accept(item)
        if isinstance(text, failure.Failure):
            return None if text.recovery is failure.Recovery.IGNORE else text
        if text:
            self._ran = ran.Ran.YES
            yield text
        return None

    def _ending(self, cause: failure.Failure | None) -> dispatches.Ending:
        if cause is None:
            return dispatches.Ending.WHOLE
        if self._remaining() <= 0:
            return dispatches.Ending.ABANDONED
        return _ENDING_BY_KIND.get(cause.kind, dispatches.Ending.WRONG)

    def _order(
        self, placement: dispatches.Placement, offset: int
    ) -> orders.GenerateOrder:
        return orders.GenerateOrder(
            request=self._answer.request,
            model=self._work.target,
            messages=self._messages,
            max_tokens=self._work.max_tokens,
            priority=placement.priority,
            offset=offset,
            fence=placement.fence,
        )

    def _remaining(self) -> clock.Ms:
        return self._work.deadline - self._env.clock.now()
