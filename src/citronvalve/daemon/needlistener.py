"""Heeds what upstreams of the own interface ask for in their answers."""

from collections.abc import Mapping
import functools

from citronvalve.entry import environment as environments
from citronvalve.model import clock
from citronvalve.model import numbertext
from citronvalve.policy import dispatcher
from citronvalve.upstreams import pools

#: Header with the requests per second that an upstream takes from all
#: daemons together.
RATE_HEADER = "X-Limit"

#: Header of a 503 with the seconds for which an upstream wants no other
#: request from this daemon.
REST_HEADER = "Retry-After"

#: Header of an upstream that leaves, and its value then.
LEAVING_HEADER = "X-Leaving"
_LEAVES = "1"

#: Longest part of an unreadable value that is logged.
_MAX_SHOWN = 40


class NeedListener:
    """Passes what answers say of their upstream's need on to the policy.

    :param env: the daemon's environment.
    :param policy: decides on requests.
    """

    def __init__(
        self, env: environments.Environment, policy: dispatcher.Dispatcher
    ) -> None:
        self._env = env
        self._policy = policy
        self._unreadable: set[tuple[str, str]] = set()

    def on_sending(self, address: str) -> pools.OnAnswer:
        """Return what takes in the answer to a request sent now.

        :param address: host:port of the upstream.
        """
        return functools.partial(
            self._on_answer, address, self._env.clock.now()
        )

    def _on_answer(
        self,
        address: str,
        sent_at: clock.Ms,
        headers: Mapping[str, str],
        status: int,
    ) -> None:
        upstream = self._policy.fleet.name_by_address.get(address)
        if upstream is None:
            return
        self._take_rate(upstream, headers.get(RATE_HEADER), sent_at, status)
        self._take_leaving(upstream, headers.get(LEAVING_HEADER))
        if status == 503:
            self._take_rest(upstream, headers.get(REST_HEADER))

    def _take_rate(
        self, upstream: str, text: str | None, sent_at: clock.Ms, status: int
    ) -> None:
        if text is None:
            is_success = 200 <= status < 300
            if is_success and self._policy.record_no_rate(upstream, sent_at):
                self._note("upstream limit over", upstream)
            return
        rate = self._parse(upstream, RATE_HEADER, text)
        now = self._env.clock.now()
        if rate is not None and self._policy.record_rate(upstream, rate, now):
            self._note("upstream limited", upstream, per_second=rate)

    def _take_rest(self, upstream: str, text: str | None) -> None:
        if text is None:
            return
        seconds = self._parse(upstream, REST_HEADER, text)
        if not seconds:
            return
        duration, now = seconds * clock.SECOND, self._env.clock.now()
        if self._policy.record_rest(upstream, duration, now):
            self._note("upstream rests", upstream, for_ms=round(duration))

    def _take_leaving(self, upstream: str, text: str | None) -> None:
        if text is None:
            return
        if text.strip() != _LEAVES:
            self._note_unreadable(upstream, LEAVING_HEADER, text)
        elif self._policy.record_leaving(upstream, self._env.clock.now()):
            self._note("upstream leaving", upstream)

    def _parse(self, upstream: str, header: str, text: str) -> float | None:
        number = numbertext.parse_decimal(text)
        if number is None:
            self._note_unreadable(upstream, header, text)
        return number

    def _note(self, event: str, upstream: str, **inputs: float) -> None:
        self._env.log.warning(event, extra={"upstream": upstream, **inputs})

    def _note_unreadable(self, upstream: str, header: str, text: str) -> None:
        if (upstream, header) in self._unreadable:
            return
        self._unreadable.add((upstream, header))
        self._env.log.warning(
            "header unreadable",
            extra={
                "upstream": upstream,
                "header": header,
                "value": text[:_MAX_SHOWN],
            },
        )
