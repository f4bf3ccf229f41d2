"""Opens connections to upstreams, directly or through another daemon."""

from collections.abc import Callable
from collections.abc import Collection
import errno
from typing import NamedTuple

from eventlet.green import socket as green_socket

from citronvalve.forward import callergone
from citronvalve.forward import environment as environments
from citronvalve.forward import exchangeerror
from citronvalve.forward import relayframe
from citronvalve.forward import relaytransport
from citronvalve.forward import transport
from citronvalve.model import clock
from citronvalve.policy import links as links_
from citronvalve.policy import relaychoice
from citronvalve.replicas import runner as runners

#: A healthy upstream accepts a connection within some ms; a dropped SYN is
#: retransmitted after a second, which is too late.
_CONNECT_TIMEOUT: clock.Ms = 400

#: After this time another daemon is asked whether it reaches the upstream.
_DOUBT_TIME: clock.Ms = 150

#: Longest wait for a daemon that relays: it tries the upstream, and another
#: one if that fails.
_RELAY_TIMEOUT: clock.Ms = 450

#: Daemons that are asked for one connection.
_MAX_ASKED = 3

#: No further daemon is asked after this time.
_MAX_ASK_TIME: clock.Ms = 600

#: Bytes of a request that the kernel holds where slow reading is to be seen:
#: by its own choice it takes in megabytes.
_SEND_BUFFER = 65_536

_Failure = exchangeerror.ExchangeFailure
_Reason = relayframe.Reason

#: Reasons that say something about the upstream.
_VERDICTS = frozenset({_Reason.UPSTREAM_DOWN, _Reason.NOT_IN_SERVICE})


class Target(NamedTuple):
    """An upstream, its address as host:port, and its data centre."""

    upstream: str
    address: str
    datacentre: str


class Connector:
    """Opens connections and tells lost links from lost upstreams.

    :param env: the daemon's environment.
    :param links: the state of this VM's links.
    :ivar relays: returns the other daemons that may relay.
    :ivar datacentres: returns the data centres with upstreams.
    :ivar on_opening: called with the result of each attempt to open a direct
        connection: ``opened``, ``refused`` or ``unreached``.
    :ivar on_relaying: called with the result of each request to another
        daemon: ``opened``, ``failed`` or the reason of its refusal.
    :ivar on_lost: called with an upstream to which the link was lost.
    :ivar on_cut: called when all links are found lost.
    :ivar opened: number of direct connections that were opened.
    """

    def __init__(
        self, env: environments.Environment, links: links_.Links
    ) -> None:
        self._env = env
        self._choice = relaychoice.RelayChoice(env.datacentre, env.rng)
        self.links = links
        self.relays: Callable[[], Collection[relaychoice.Relay]] = tuple
        self.datacentres: Callable[[], set[str]] = set
        self.on_opening: Callable[[str], None] = lambda _: None
        self.on_relaying: Callable[[str], None] = lambda _: None
        self.on_lost: Callable[[str], None] = lambda _: None
        self.on_cut: Callable[[], None] = lambda: None
        self.opened = 0

    def open(self, target: Target, request_id: str) -> transport.Transport:
        """Open a connection to an upstream on the way that works.

        :param target: the upstream.
        :param request_id: the request that it is for.
        :raises exchangeerror.ExchangeError: when it can't be reached; nothing
            was sent.
        """
        if self.links.is_lost(target.upstream, self._env.clock.now()):
            return self._open_relayed(target, request_id)
        sock = green_socket.socket()
        try:
            self._connect(sock, target, _DOUBT_TIME)
        except TimeoutError:
            return self._open_late(sock, target, request_id)
        except OSError as error:
            sock.close()
            return self._replace(target, request_id, error)
        return self._opened(sock, target)

    def open_direct(
        self, target: Target, timeout: clock.Ms = _DOUBT_TIME
    ) -> transport.SocketTransport:
        """Open a direct connection, whatever is known of the links.

        :param target: the upstream.
        :param timeout: ms.
        :raises exchangeerror.ExchangeError: when it fails.
        """
        sock = green_socket.socket()
        try:
            self._connect(sock, target, timeout)
        except OSError as error:
            sock.close()
            raise self._failed(error) from error
        return self._opened(sock, target)

    def is_relaying_proven(self) -> bool:
        """Return whether another daemon has shown lately that it has links."""
        return self._choice.is_proven(self._env.clock.now())

    def record_activity(self, relay: str) -> None:
        """Record that an upstream sent data.

        :param relay: the daemon that relayed it, empty for a direct one.
        """
        now = self._env.clock.now()
        if relay:
            self._choice.record_worked(relay, now)
        else:
            self.links.record_heard(now)

    def record_silence(self, relay: str) -> None:
        """Record that a connection through another daemon went silent.

        :param relay: its name.
        """
        self._choice.record_silence(relay, self._env.clock.now())

    def _open_late(
        self, sock: green_socket.socket, target: Target, request_id: str
    ) -> transport.Transport:
        """Ask another daemon while the own connection is still opening."""
        # This process may have stood still while it was opened.
        if sock.fd.connect_ex(_split(target.address)) in (0, errno.EISCONN):
            return self._opened(sock, target)
        relayed = self._ask_others(target, request_id)
        if isinstance(relayed, transport.Transport):
            sock.close()
            self.on_opening("unreached")
            self._record_lost(target, relayed.relay)
            return relayed
        # What another daemon can't reach either is not waited for.
        is_down = relayed is _Reason.UPSTREAM_DOWN
        rest = 1 if is_down else _CONNECT_TIMEOUT - _DOUBT_TIME
        try:
            self._connect(sock, target, rest)
        except OSError as error:
            sock.close()
            raise self._unreached(target, relayed, error) from error
        return self._opened(sock, target)

    def _replace(
        self, target: Target, request_id: str, error: OSError
    ) -> transport.Transport:
        relayed = self._ask_others(target, request_id)
        if not isinstance(relayed, transport.Transport):
            raise self._unreached(target, relayed, error) from error
        self._failed(error)
        self._record_lost(target, relayed.relay)
        return relayed

    def _unreached(
        self,
        target: Target,
        reason: _Reason | relayframe.Refusal | None,
        error: OSError,
    ) -> exchangeerror.ExchangeError:
        """Return the error for an upstream that is not reached."""
        failed = self._failed(error)
        is_resting = isinstance(reason, relayframe.Refusal)
        if reason is not _Reason.NO_LINK and not is_resting:
            return failed
        # Nobody can tell the upstream's failure from the links', or it works
        # and wants nothing from those that relay.
        self._record_lost(target, "")
        return _no_link(reason)

    def _open_relayed(
        self, target: Target, request_id: str
    ) -> transport.Transport:
        relayed = self._ask_others(target, request_id)
        if isinstance(relayed, transport.Transport):
            return relayed
        if relayed is _Reason.UPSTREAM_DOWN:
            raise exchangeerror.ExchangeError(
                _Failure.UNREACHED, "another daemon does not reach it either"
            )
        raise _no_link(relayed)

    def _ask_others(
        self, target: Target, request_id: str
    ) -> transport.Transport | _Reason | relayframe.Refusal | None:
        """Return a relayed connection, or why there is none.

        :returns: None if there is no daemon to ask, a refusal if the upstream
            wants no request from any that has links.
        """
        asked: set[str] = set()
        found = _Reason.NO_LINK if self.relays() else None
        rests: list[relayframe.Refusal] = []
        end = self._env.clock.now() + _MAX_ASK_TIME
        while len(asked) < _MAX_ASKED and self._env.clock.now() < end:
            now = self._env.clock.now()
            relay = self._choice.choose(self.relays(), asked, now)
            if relay is None:
                break
            asked.add(relay.name)
            answer = self._ask(relay, target, request_id)
            if isinstance(answer, relayframe.Refusal):
                rests.append(answer)
            elif answer is _Reason.NOT_IN_SERVICE:
                # One that has just started may be listed elsewhere.
                found = answer
            elif answer is not None:
                return answer
        return min(rests, key=lambda one: one.rest, default=found)

    def _ask(
        self, relay: relaychoice.Relay, target: Target, request_id: str
    ) -> transport.Transport | _Reason | relayframe.Refusal | None:
        """Ask one daemon; return None if it can't tell."""
        opening = relayframe.Opening(
            self._env.name, target.upstream, request_id
        )
        sock = green_socket.socket()
        name = relay.name
        try:
            sock.settimeout(_DOUBT_TIME / clock.SECOND)
            sock.connect(_split(relay.address))
        except OSError as error:
            sock.close()
            self._note_failure(name, opening, repr(error))
            return None
        self._choice.record_open(name)
        transport.prepare(sock)
        relayed = relaytransport.RelayTransport(
            sock, name, opening, lambda: self._choice.record_closed(name)
        )
        try:
            relayed.wait_opened(self._env.clock, _RELAY_TIMEOUT)
        except relaytransport.RelayRefusedError as error:
            relayed.close()
            return self._note_refusal(name, opening, error.reason)
        except OSError as error:
            relayed.close()
            self._note_failure(name, opening, repr(error))
            return None
        except callergone.CallerGoneError:
            relayed.close()
            raise
        self.on_relaying("opened")
        self._choice.record_worked(name, self._env.clock.now())
        return relayed

    def _note_refusal(
        self, relay: str, opening: relayframe.Opening, reason: str
    ) -> _Reason | relayframe.Refusal | None:
        refused = relayframe.decode_refusal(reason)
        known = refused.reason
        self.on_relaying(known or "failed")
        self._log_refusal(relay, opening, reason)
        now = self._env.clock.now()
        if known is _Reason.UPSTREAM_DOWN:
            self._choice.record_worked(relay, now)
        if known in _VERDICTS:
            return known
        if known is _Reason.RESTING:
            # It may relay to other upstreams.
            return refused
        self._choice.record_refusal(relay, now, known is _Reason.BUSY)
        return None

    def _note_failure(
        self, relay: str, opening: relayframe.Opening, why: str
    ) -> None:
        self.on_relaying("failed")
        self._log_refusal(relay, opening, why)
        self._choice.record_refusal(relay, self._env.clock.now(), busy=False)

    def _log_refusal(
        self, relay: str, opening: relayframe.Opening, why: str
    ) -> None:
        self._env.log.note(
            "not relayed",
            opening.request,
            relay=relay,
            upstream=opening.upstream,
            why=why,
        )

    def _connect(
        self, sock: green_socket.socket, target: Target, timeout: clock.Ms
    ) -> None:
        sock.settimeout(timeout / clock.SECOND)
        sock.connect(_split(target.address))

    def _opened(
        self, sock: green_socket.socket, target: Target
    ) -> transport.SocketTransport:
        self.opened += 1
        self.on_opening("opened")
        was_cut = self.links.is_cut
        self.links.record_opened(target.upstream, self._env.clock.now())
        if was_cut and not self.links.is_cut:
            self._env.log.change("links back", upstream=target.upstream)
        is_bounded = self._env.unsent is not None
        return transport.prepare(sock, _SEND_BUFFER if is_bounded else 0)

    def _failed(self, error: OSError) -> exchangeerror.ExchangeError:
        refused = isinstance(error, ConnectionRefusedError)
        failure = _Failure.REFUSED if refused else _Failure.UNREACHED
        self.on_opening(failure.value)
        self.links.record_failed()
        return exchangeerror.ExchangeError(failure, str(error))

    def _record_lost(self, target: Target, relay: str) -> None:
        was_cut = self.links.is_cut
        self.links.record_failed()
        self.links.record_lost(
            target.upstream,
            target.datacentre,
            self.datacentres(),
            self._env.clock.now(),
        )
        self._env.log.change(
            "link lost", upstream=target.upstream, relay=relay
        )
        if self.links.is_cut and not was_cut:
            self._env.log.change("links cut", upstream=target.upstream)
            self.on_cut()
        self.on_lost(target.upstream)


def _no_link(
    found: _Reason | relayframe.Refusal | None,
) -> exchangeerror.ExchangeError:
    if isinstance(found, relayframe.Refusal):
        return exchangeerror.ExchangeError(
            _Failure.RESTING,
            "this VM has no link to the upstream, which wants no request from "
            "those that relay",
            found.rest,
        )
    return exchangeerror.ExchangeError(
        _Failure.NO_LINK,
        "this VM has no link to the upstream, and no other daemon relays",
    )


def target_of(runner: runners.Runner) -> Target:
    """Return where an upstream is.

    :param runner: its entry.
    """
    return Target(runner.id, runner.address, runner.datacentre)


def _split(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)
