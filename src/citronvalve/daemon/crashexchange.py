"""Exchange with other daemons of what is known about crashed upstreams."""

from collections.abc import Callable

import eventlet

from citronvalve.daemon import supervision
from citronvalve.forward import environment as environments
from citronvalve.model import clock
from citronvalve.peers import messages
from citronvalve.policy import crashevidence
from citronvalve.policy import crashsuspects
from citronvalve.replicas import lease as leases

#: Losses of one crash are sent together; they are seen within this time.
_LOSS_DELAY: clock.Ms = 5

#: Longest delay of a proof for each daemon of the fleet.  The first one makes
#: those that other daemons are about to send superfluous.
_PROOF_DELAY_PER_DAEMON: clock.Ms = 1
_MAX_PROOF_DELAY: clock.Ms = 1_000

#: Interval at which a daemon repeats what it knows, and to how many others.
_REPEAT_INTERVAL: clock.Ms = 500
_REPEAT_COUNT = 2

#: After this time without a message of any daemon, this one was cut off or
#: did not run, and lacks what the others have learned meanwhile.
_SILENCE: clock.Ms = 1_500

#: Interval between requests for what others know, how many daemons are asked
#: at once, and how long requests of callers wait for it.
_ASK_INTERVAL: clock.Ms = 60
_ASK_COUNT = 3
_MAX_ASK_TIME: clock.Ms = 1_000

#: Interval at which a request looks whether the answer has come.
_POLL_INTERVAL: clock.Ms = 10

Send = Callable[[str, messages.Message], None]


class CrashExchange:
    """Brings losses and proofs to all daemons, also those that missed them.

    Each is broadcast once.  Daemons repeat what they know to others at random
    while there is anything, and ask for it when they start or return.

    :param env: the daemon's environment.
    :param address: host:port at which other daemons reach this one.
    :param lease: the known daemons.
    :param suspects: the evidence.
    :param broadcast: sends a message to all daemons.
    :param send: sends a message to an address.
    :ivar merge: called with what another daemon knows.
    :ivar record: called with the losses of fenced contents, to store them.
    """

    def __init__(
        self,
        env: environments.Environment,
        address: str,
        lease: leases.Lease,
        suspects: crashsuspects.CrashSuspects,
        broadcast: Callable[[messages.CrashEvidence], None],
        send: Send,
    ) -> None:
        self._env = env
        self._address = address
        self._lease = lease
        self._suspects = suspects
        self._broadcast = broadcast
        self._send = send
        self._losses: list[crashevidence.Loss] = []
        self._proof_by_key: dict[tuple[int, int], crashevidence.Proof] = {}
        self._heard_at = env.clock.now()
        self._known = False
        self.merge: Callable[[crashevidence.Evidence], None] = suspects.merge
        self.record: Callable[[frozenset[crashevidence.Loss]], None] = (
            lambda _: None
        )

    def start(self) -> None:
        """Start the tasks."""
        supervision.spawn(self._env, "crash learning", self._learn)
        supervision.spawn(self._env, "crash exchange", self._repeat)

    def send_losses(self, losses: list[crashevidence.Loss]) -> None:
        """Inform the other daemons of new losses.

        :param losses: seen here.
        """
        if not self._losses:
            delay = _LOSS_DELAY / clock.SECOND
            eventlet.spawn_after(delay, self._flush_losses)
        self._losses += losses

    def send_proofs(self, proofs: list[crashevidence.Proof]) -> None:
        """Inform the other daemons of proofs, unless one of them does first.

        :param proofs: seen here.
        """
        if not self._proof_by_key:
            longest = min(
                _PROOF_DELAY_PER_DAEMON * self._env.daemon_count,
                _MAX_PROOF_DELAY,
            )
            delay = self._env.rng.uniform(0, longest) / clock.SECOND
            eventlet.spawn_after(delay, self._flush_proofs)
        for proof in proofs:
            self._proof_by_key[proof.content, proof.model] = proof

    def wait_known(self, deadline: clock.Ms) -> None:
        """Wait until this daemon knows what the others do.

        :param deadline: monotonic ms at which the wait ends in any case.
        """
        while not self._known and self._env.clock.now() < deadline:
            eventlet.sleep(_POLL_INTERVAL / clock.SECOND)

    def record_contact(self) -> None:
        """Record that a message of another daemon has arrived."""
        now = self._env.clock.now()
        was_silent = now - self._heard_at >= _SILENCE
        self._heard_at = now
        if was_silent and self._known:
            self._known = False
            eventlet.spawn(self._learn)

    def on_evidence(self, message: messages.CrashEvidence) -> None:
        """Record what another daemon knows.

        :param message: as received.
        """
        now = self._env.clock.now()
        evidence = crashevidence.Evidence(
            tuple(
                crashevidence.Loss(content, start, model, now - age, begun)
                for content, start, model, age, begun in message.losses
            ),
            tuple(
                crashevidence.Proof(content, model, now - age)
                for content, model, age in message.proofs
            ),
        )
        self.merge(evidence)
        for proof in evidence.proofs:
            self._proof_by_key.pop((proof.content, proof.model), None)
        if message.is_answer:
            self._known = True

    def on_request(self, message: messages.CrashEvidenceRequest) -> None:
        """Answer a daemon that has started or was cut off.

        :param message: as received.
        """
        if self._known:
            answer = self._encode(self._suspects.snapshot(), is_answer=True)
            self._send(message.address, answer)

    def _learn(self) -> None:
        """Ask other daemons until one answers, or none is likely to."""
        began_at = self._env.clock.now()
        until = began_at + _MAX_ASK_TIME
        request = messages.CrashEvidenceRequest(self._env.name, self._address)
        while not self._known and self._env.clock.now() < until:
            others = self._others()
            if not others and self._lease.has_scanned:
                break
            for address in self._sample(others, _ASK_COUNT):
                self._send(address, request)
            eventlet.sleep(_ASK_INTERVAL / clock.SECOND)
        self._env.log.change(
            "crashes learned" if self._known else "crashes not learned",
            contents=len(self._suspects),
            waited_ms=self._env.clock.now() - began_at,
        )
        self._known = True

    def _repeat(self) -> None:
        while True:
            eventlet.sleep(_REPEAT_INTERVAL / clock.SECOND)
            self._suspects.prune(self._env.clock.now())
            self.record(self._suspects.fenced_losses())
            snapshot = self._suspects.snapshot()
            if not snapshot.losses:
                continue
            message = self._encode(snapshot)
            for address in self._sample(self._others(), _REPEAT_COUNT):
                self._send(address, message)

    def _others(self) -> list[str]:
        return [
            peer.address
            for name, peer in self._lease.peer_by_name.items()
            if name != self._env.name
        ]

    def _sample(self, addresses: list[str], count: int) -> list[str]:
        return self._env.rng.sample(addresses, min(count, len(addresses)))

    def _flush_losses(self) -> None:
        losses, self._losses = self._losses, []
        self._broadcast(self._encode(crashevidence.Evidence(tuple(losses))))

    def _flush_proofs(self) -> None:
        proofs = tuple(self._proof_by_key.values())
        self._proof_by_key.clear()
        if proofs:
            evidence = crashevidence.Evidence(proofs=proofs)
            self._broadcast(self._encode(evidence))

    def _encode(
        self, evidence: crashevidence.Evidence, is_answer: bool = False
    ) -> messages.CrashEvidence:
        now = self._env.clock.now()
        return messages.CrashEvidence(
            self._env.name,
            tuple(
                (*loss[:3], now - loss.at, loss.begun)
                for loss in evidence.losses
            ),
            tuple(
                (proof.content, proof.model, now - proof.at)
                for proof in evidence.proofs
            ),
            is_answer,
        )
