"""Reads the bodies of callers' requests."""

from collections.abc import Callable

import eventlet
import h11

from citronvalve.forward import bodydecoder
from citronvalve.forward import environment as environments
from citronvalve.forward import headernames
from citronvalve.forward import headers
from citronvalve.model import clock
from citronvalve.model import errors
from citronvalve.policy import workturns
from citronvalve.routes import callerlimits


class BodyNotReadError(errors.RequestError):
    """A body is not read to its end; nothing of its request has run.

    :param why: the cause.
    """


class NoMemoryError(BodyNotReadError):
    """The daemon has no memory for it."""


class TooLateError(BodyNotReadError):
    """It took longer than it may."""


class TooLargeError(BodyNotReadError):
    """It is larger than it may be."""


class RequestBody:
    """The body of one request, counted while it is read.

    :param env: the daemon's environment.
    :param caller: whose body it is, for the budget.
    :param decoder: takes the framing off; fed with what has arrived.
    :param most: bytes that it may have.
    """

    def __init__(
        self,
        env: environments.Environment,
        caller: object,
        decoder: bodydecoder.BodyDecoder,
        most: int,
    ) -> None:
        self._env = env
        self._caller = caller
        self._decoder = decoder
        self._most = most
        self._content = bytearray()
        self._counted = 0
        self._work = 0
        self._ended: NoMemoryError | None = None

    def read(self, receive: Callable[[], bytes]) -> bytes:
        """Return the body.

        :param receive: returns the next bytes.
        :raises BodyNotReadError: when it has no end that is worth to be
            waited for.
        :raises bodydecoder.BodyError: when it is no body.
        """
        decoder = self._decoder
        self._check_size()
        while not decoder.is_complete:
            if not self._decode() and not decoder.is_complete:
                self._count()
                self._take_turn(workturns.READ)
                # No name here: it would keep the bytes until the next come.
                decoder.feed(receive())
                self._check_ended()
        content = bytes(self._content)
        self._content = bytearray()
        return content

    def end(self) -> None:
        """Drop what was read, so that others have the memory."""
        self._ended = NoMemoryError("the memory is needed for others")
        self._content = bytearray()

    def _decode(self) -> bool:
        """Decode what has arrived; return whether anything had."""
        before = self._decoder.pieces
        self._content += self._decoder.decode(workturns.TURN)
        self._check_size()
        done = self._decoder.pieces - before
        if done and not self._decoder.is_complete:
            self._take_turn(done)
        return bool(done)

    def _check_size(self) -> None:
        if len(self._content) + self._decoder.announced > self._most:
            raise TooLargeError(f"the body is larger than {self._most} bytes")

    def _check_ended(self) -> None:
        if self._ended is not None:
            raise self._ended

    def _count(self) -> None:
        """Count what it holds; end those that hold too much for it."""
        bodies = self._env.bodies
        held = self._content.__alloc__() + len(self._decoder.undecoded)
        taken, self._counted = held - self._counted, held
        if taken < 0:
            bodies.give(self._caller, -taken)
            return
        for ended in bodies.take(self._caller, taken, self._env.clock.now()):
            ended.caller.end_body(ended.held)
        self._check_ended()

    def _take_turn(self, work: int) -> None:
        """Let others run, once it has done the work of a turn.

        :param work: what it has done, or is about to do.
        """
        self._work += work
        if self._work < workturns.TURN:
            return
        self._work = 0
        wait = self._env.turns.reserve(self._env.clock.now())
        eventlet.sleep(wait / clock.SECOND)
        self._check_ended()


def decoder_of(head: h11.Request) -> bodydecoder.BodyDecoder:
    """Return the decoder for the framing that a head announces.

    :param head: checked, with one framing at most.
    """
    value_by_name = dict(head.headers)
    if b"transfer-encoding" in value_by_name:
        return bodydecoder.ChunkedDecoder()
    length = value_by_name.get(b"content-length", b"0")
    return bodydecoder.LengthDecoder(int(length))


def time_allowed(
    head: h11.Request,
    names: headernames.HeaderNames,
    limits: callerlimits.CallerLimits,
) -> clock.Ms:
    """Return the ms that the body of a request may take.

    A caller waits no longer than the deadline that it names.

    :param head: of the request.
    :param names: the header names.
    :param limits: in force.
    """
    named = headers.parse_number(
        headers.value(list(head.headers), names.deadline)
    )
    if named is None:
        return limits.body_timeout
    return min(named, limits.body_timeout)
