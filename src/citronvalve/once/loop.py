"""Commits batches for as long as the daemon runs."""

from citronvalve.model import clock
from citronvalve.once import recorder as recorders
from citronvalve.once import waiting as waits

#: The loop looks by itself this often, should a wake-up be missed.
_IDLE: clock.Ms = 1_000


class Loop:
    """The one task that talks to the platform for the record.

    :param recorder: whose batches are committed.
    :param waiting: how to wait; the recorder's own.
    :param now: the clock.
    """

    def __init__(
        self,
        recorder: recorders.Recorder,
        waiting: waits.Waiting,
        now: clock.Clock,
    ) -> None:
        self._recorder = recorder
        self._waiting = waiting
        self._clock = now
        self._stopped = False

    def run(self) -> None:
        """Commit batches until stopped."""
        while not self._stopped:
            self._step()

    def stop(self) -> None:
        """End the loop after the batch at hand."""
        self._stopped = True
        self._waiting.wake()

    def drain(self, span: clock.Ms) -> int:
        """Wait until nothing is left to write, before the daemon ends.

        :param span: ms to wait at most.
        :return: changes that are left; their keys stay "unknown".
        """
        until = self._clock.now() + span
        while len(self._recorder.writer) and self._clock.now() < until:
            self._waiting.pause(10)
        return len(self._recorder.writer)

    def _step(self) -> None:
        if self._recorder.cycle():
            return
        writer = self._recorder.writer
        if not len(writer):
            self._waiting.sleep(_IDLE)
            return
        # Not woken by each new claim: it shares the batch that is due.
        self._waiting.pause(max(1, writer.wait(self._clock.now())))
