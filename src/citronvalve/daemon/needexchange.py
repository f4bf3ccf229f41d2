"""What daemons tell each other of upstreams in need."""

from citronvalve.daemon import leavingexchange
from citronvalve.daemon import limitexchange
from citronvalve.daemon import messagetask
from citronvalve.forward import environment as environments
from citronvalve.forward import needs as needs_
from citronvalve.model import clock
from citronvalve.peers import messages
from citronvalve.replicas import lease as leases


class NeedExchange:
    """Exchanges limits, rests and leaves with the other daemons.

    :param env: the daemon's environment.
    :param needs: records what upstreams ask for.
    :param lease: the known daemons.
    :param message_task: sends and receives.
    """

    def __init__(
        self,
        env: environments.Environment,
        needs: needs_.Needs,
        lease: leases.Lease,
        message_task: messagetask.MessageTask,
    ) -> None:
        self._env = env
        self._needs = needs
        self._message_task = message_task
        sends = message_task.broadcast, message_task.send_message
        self._limits = limitexchange.LimitExchange(
            env, lease, needs.limiter, *sends
        )
        self._limits.is_reachable = message_task.may_reach
        self._leaving = leavingexchange.LeavingExchange(
            env, lease, needs.leaving, *sends
        )
        needs.limiter.on_change = self._limits.send_change
        needs.leaving.on_change = self._leaving.send_change
        needs.rests.on_relayed = self._send_rest
        register = message_task.register
        register(messages.LimitReport, self._limits.on_limits)
        register(messages.LeavingUpstreams, self._leaving.on_leaving)
        register(messages.UpstreamRest, self._on_rest)

    def start(self) -> None:
        """Start the tasks."""
        self._limits.start()
        self._leaving.start()

    def _send_rest(
        self, relay: str, upstream: str, duration: clock.Ms
    ) -> None:
        """Inform a daemon that an upstream turned away what it relayed."""
        rest = messages.UpstreamRest(self._env.name, upstream, duration)
        self._message_task.send_to(relay, rest)

    def _on_rest(self, message: messages.UpstreamRest) -> None:
        self._needs.rests.record_rest(message.upstream, message.duration)
