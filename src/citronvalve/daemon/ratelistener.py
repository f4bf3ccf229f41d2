"""Heeds the request rates that upstreams of the own interface name."""

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

#: Longest part of an unreadable value that is logged.
_MAX_SHOWN = 40


class RateListener:
    """Passes the rates in answers on to the policy.

    :param env: the daemon's environment.
    :param policy: decides on requests.
    """

    def __init__(
        self, env: environments.Environment, policy: dispatcher.Dispatcher
    ) -> None:
        self._env = env
        self._policy = policy
        self._unreadable: set[str] = set()

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
        text = headers.get(RATE_HEADER)
        if text is not None:
            self._on_rate(upstream, text)
        elif 200 <= status < 300:
            self._on_no_rate(upstream, sent_at)

    def _on_rate(self, upstream: str, text: str) -> None:
        rate = numbertext.parse_decimal(text)
        if rate is None:
            self._note_unreadable(upstream, text)
        elif self._policy.record_rate(upstream, rate, self._env.clock.now()):
            self._env.log.warning(
                "upstream limited",
                extra={"upstream": upstream, "per_second": rate},
            )

    def _on_no_rate(self, upstream: str, sent_at: clock.Ms) -> None:
        if self._policy.record_no_rate(upstream, sent_at):
            self._env.log.info(
                "upstream limit over", extra={"upstream": upstream}
            )

    def _note_unreadable(self, upstream: str, text: str) -> None:
        if upstream not in self._unreadable:
            self._unreadable.add(upstream)
            self._env.log.warning(
                "limit unreadable",
                extra={"upstream": upstream, "value": text[:_MAX_SHOWN]},
            )
