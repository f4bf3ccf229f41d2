"""One attempt to run a request at one upstream."""

from collections.abc import Callable
import functools

import eventlet

from citronvalve.forward import attemptresult
from citronvalve.forward import connector as connectors
from citronvalve.forward import crashdetector
from citronvalve.forward import dependencies
from citronvalve.forward import exchange as exchanges
from citronvalve.forward import exchangeerror
from citronvalve.forward import notrun
from citronvalve.forward import reply as replies
from citronvalve.forward import requesthead
from citronvalve.forward import responsehead
from citronvalve.forward import responsereader
from citronvalve.forward import routedrequest
from citronvalve.forward import streamprogress
from citronvalve.model import clock
from citronvalve.policy import upstreamchoice

_Ending = attemptresult.Ending
_Failure = exchangeerror.ExchangeFailure
_Proof = notrun.Proof
_Result = attemptresult.AttemptResult

_STILL_SILENT = _Result(_Ending.STALLED, "no event arrived in time")


class Attempt:
    """Sends a request to an upstream and relays its response.

    An attempt that stalls keeps its connection until :meth:`close`: it can
    be run again, which sends nothing, and goes on to read.

    :param deps: the daemon's components.
    :param routed: the request.
    :param reply: receives the response.
    :param chosen: the upstream and its forecast.
    :param progress: the part of a stream that the caller already has.
    :param can_switch: returns whether the request could continue at another
        upstream.
    :ivar chosen: the same.
    :ivar relay: name of the daemon that relays it, empty if it is direct.
    :ivar connection: number of the connection, 0 if none was opened.
    :ivar result: how it ended, or that it stalled; None before that.
    """

    def __init__(
        self,
        deps: dependencies.Dependencies,
        routed: routedrequest.RoutedRequest,
        reply: replies.Reply,
        chosen: upstreamchoice.Chosen,
        progress: streamprogress.StreamProgress,
        can_switch: Callable[[], bool],
    ) -> None:
        self._deps = deps
        self._env = deps.env
        self._routed = routed
        self._reply = reply
        self.chosen = chosen
        self._progress = progress
        self._reader = responsereader.ResponseReader(
            deps, routed, chosen, can_switch
        )
        self._load = deps.loads.of(chosen.upstream)
        self._is_start_counted = False
        self._target = connectors.Target(chosen.upstream, "", "")
        self._run = crashdetector.Run(self._target)
        self._exchange: exchanges.Exchange | None = None
        self._sent_at: clock.Ms = 0
        self.relay = ""
        self.connection = 0
        self.result: attemptresult.AttemptResult | None = None

    @property
    def address(self) -> str:
        """Return host:port of the upstream, empty if it was not listed."""
        return self._target.address

    @property
    def is_open(self) -> bool:
        """Return whether its connection is kept, since it has stalled."""
        return self._exchange is not None

    def run(
        self,
        has_other_answered: Callable[[], bool] | None = None,
        on_progress: Callable[[], None] | None = None,
    ) -> attemptresult.AttemptResult:
        """Run the attempt, or read on after it has stalled.

        :param has_other_answered: see the reader; None if no earlier attempt
            is open.
        :param on_progress: called once, when events are relayed.
        """
        exchange = self._exchange
        if exchange is None:
            if self.result is not None:
                # It ended when what had arrived was read.
                return self.result
            opened = self._open()
            if isinstance(opened, attemptresult.AttemptResult):
                self.result = opened
                return opened
            exchange = self._exchange = opened
        self._reader.has_other_answered = has_other_answered
        exchange.on_progress = (
            functools.partial(self._pass_others, on_progress)
            if on_progress is not None
            else None
        )
        return self._read(exchange, self._send_and_read)

    def read_arrived(self) -> bool:
        """Read what has arrived since it stalled.

        :returns: whether the caller got any of it.
        """
        exchange = self._exchange
        if exchange is None or exchange.connection.is_idle():
            return False
        count = self._progress.event_count
        result = self._read(exchange, self._read_arrived)
        is_delivered = result.ending is _Ending.DELIVERED
        return is_delivered or count != self._progress.event_count

    def close(self) -> None:
        """Close the connection of an attempt that has stalled.

        The upstream's silence is then a failure; one that goes on is none.
        """
        exchange = self._exchange
        if exchange is not None:
            self._record_failure()
            self._record_unchecked(_Failure.SILENT)
            self._leave()
            exchange.connection.close()

    def _open(self) -> exchanges.Exchange | attemptresult.AttemptResult:
        """Open the connection; return the result if that fails."""
        runner = self._deps.directory.runner_by_id.get(self.chosen.upstream)
        if runner is None:
            return attemptresult.not_run(
                _Proof.UNLISTED, "the upstream is no longer in the list"
            )
        self._target = connectors.target_of(runner)
        self._run = crashdetector.Run(self._target, runner.start_id)
        try:
            connection = self._deps.pool.acquire(
                self._target, self._routed.id, self._routed.route.may_repeat
            )
        except exchangeerror.ExchangeError as error:
            return self._handle_unreached(error)
        self.relay = connection.relay
        self.connection = connection.number
        self._load.own += 1
        self._load.late += self.chosen.late
        exchange = exchanges.Exchange(
            self._deps,
            self._routed,
            self._reply,
            self.chosen,
            self._progress,
            self._target,
            connection,
        )
        exchange.on_heard = self._record_data
        exchange.on_head = self._record_response
        return exchange

    def _handle_unreached(
        self, error: exchangeerror.ExchangeError
    ) -> attemptresult.AttemptResult:
        if error.failure is _Failure.RESTING:
            self._record_rest(error)
            return attemptresult.not_run(_Proof.RESTING, str(error))
        if error.failure is _Failure.NO_LINK:
            if not self._deps.connector.links.is_cut:
                # The leader has to learn of a data centre that is cut off.
                self._deps.stall_detector.record_silence(
                    self.chosen.upstream, checked=True
                )
            return attemptresult.not_run(_Proof.NO_LINK, str(error))
        self._load.circuit.record_failure(self._env.clock.now(), fatal=True)
        self._deps.stall_detector.record_silence(
            self.chosen.upstream, checked=True
        )
        return attemptresult.not_run(_Proof.UNREACHED, str(error))

    def _read(
        self,
        exchange: exchanges.Exchange,
        read: Callable[
            [exchanges.Exchange], attemptresult.AttemptResult | None
        ],
    ) -> attemptresult.AttemptResult:
        """Read; keep the connection only if the response may go on."""
        is_kept = False
        try:
            result = read(exchange)
            is_kept = result is None
        except exchangeerror.ExchangeError as error:
            is_kept = self._may_go_on(error)
            result = self._handle_failure(error)
        finally:
            if not is_kept:
                self._finish(exchange)
        self.result = result or _STILL_SILENT
        return self.result

    def _pass_others(self, on_progress: Callable[[], None]) -> None:
        self._reader.has_other_answered = None
        on_progress()

    def _may_go_on(self, error: exchangeerror.ExchangeError) -> bool:
        """Return whether a failed read may be followed by another one."""
        is_silent = error.failure is _Failure.SILENT
        return is_silent and self._env.clock.now() < self._routed.deadline

    def _read_arrived(
        self, exchange: exchanges.Exchange
    ) -> attemptresult.AttemptResult | None:
        try:
            return exchange.read_arrived()
        except exchangeerror.ExchangeError as error:
            if error.failure is _Failure.BROKEN:
                # Another attempt is under way and must not wait for it.
                eventlet.spawn_n(self._check_upstream)
            raise

    def _check_upstream(self) -> None:
        self._deps.crash_detector.check_upstream(self._routed, self._run)

    def _record_unchecked(self, failure: _Failure) -> None:
        self._deps.crash_detector.record_unchecked(
            self._routed, self._run, failure
        )

    def _send_and_read(
        self, exchange: exchanges.Exchange
    ) -> attemptresult.AttemptResult:
        try:
            if self.result is None:
                self._send(exchange)
            return exchange.read(self._reader)
        except exchangeerror.ExchangeError as error:
            if error.failure is _Failure.BROKEN:
                self._check_upstream()
            raise

    def _send(self, exchange: exchanges.Exchange) -> None:
        self._reply.check_caller()
        self._reader.check_others()
        self._sent_at = self._env.clock.now()
        exchange.send(
            requesthead.compose(
                self._env, self._routed, self.chosen, self._progress
            )
        )

    def _finish(self, exchange: exchanges.Exchange) -> None:
        """Record a complete exchange, and release or close the connection."""
        self._leave()
        result, response = exchange.result, exchange.response
        if result is None or response is None:
            exchange.connection.close()
            return
        if result.ending is _Ending.DELIVERED:
            self._load.circuit.record_success()
        elif result.ending is _Ending.FAILED:
            self._load.circuit.record_failure(
                self._env.clock.now(), fatal=False
            )
        self._deps.pool.release(
            self._target.address,
            exchange.connection,
            response.keep_alive_seconds(),
        )

    def _leave(self) -> None:
        """End the accounting of its load."""
        if self._exchange is not None:
            self._exchange.release()
        self._exchange = None
        self._load.own -= 1
        self._record_start()

    def _record_start(self) -> None:
        # Once it has started or ended, it is no longer queued as late.
        if self.chosen.late and not self._is_start_counted:
            self._is_start_counted = True
            self._load.late -= 1

    def _record_response(self, response: responsehead.ResponseHead) -> None:
        self._run = self._run._replace(answered_at=self._env.clock.now())
        self._record_activity()
        self._record_start()
        self._deps.needs.record_answer(
            self.chosen.upstream, response, self._sent_at, self.relay
        )
        load = response.load(self._env.header_names)
        if load is not None:
            now = self._env.clock.now()
            self._load.record_report(load.running, load.waiting, now)

    def _record_data(self) -> None:
        self._run = self._deps.crash_detector.record_data(
            self._routed, self._run
        )
        self._record_activity()

    def _record_activity(self) -> None:
        self._deps.stall_detector.record_activity(self.chosen.upstream)
        self._deps.connector.record_activity(self.relay)

    def _handle_failure(
        self, error: exchangeerror.ExchangeError
    ) -> attemptresult.AttemptResult:
        why = str(error)
        match error.failure:
            case _Failure.RESTING:
                self._record_rest(error)
                return attemptresult.not_run(_Proof.RESTING, why)
            case _Failure.NO_LINK:
                return attemptresult.not_run(_Proof.RELAY_REFUSED, why)
            case _Failure.OVERTAKEN:
                if self.result is not None:
                    self._record_failure()
                return _Result(_Ending.OVERTAKEN, why)
            case _Failure.SILENT:
                if self.result is None:
                    self._record_silence()
                return _Result(_Ending.STALLED, why)
            case _Failure.UNSENT:
                self._record_failure()
                return attemptresult.not_run(_Proof.UNSENT, why)
        self._record_failure()
        if error.failure is not _Failure.BROKEN:
            self._record_unchecked(error.failure)
        return _Result(_Ending.BROKEN, why)

    def _record_rest(self, error: exchangeerror.ExchangeError) -> None:
        """Record that the upstream rests for those that could relay."""
        self._deps.needs.rests.record_rest(self.chosen.upstream, error.rest)

    def _record_silence(self) -> None:
        # All open connections may be silent while new ones work.
        self._deps.pool.close_idle(self._target.address)
        if self.relay:
            self._deps.connector.record_silence(self.relay)

    def _record_failure(self) -> None:
        now = self._env.clock.now()
        if now < self._routed.deadline:
            self._load.circuit.record_failure(now, fatal=False)
