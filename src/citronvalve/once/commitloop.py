"""Commits batches for as long as the daemon runs."""

from citronvalve.model import clock
from citronvalve.once import recorder as recorders
from citronvalve.once import scheduler as schedulers

#: The loop looks by itself this often, should a wake-up be missed.
_IDLE_WAIT: clock.Ms = 1_000


class CommitLoop:
    """The one task that talks to the platform for the record.

    :param recorder: whose batches are committed.
    :param waiting: how to wait; the recorder's own.
    :param now: the clock.
    """

    def __init__(
        self,
        recorder: recorders.Recorder,
        scheduler: schedulers.Scheduler,
        time_source: clock.Clock,
    ) -> None:
        self._recorder = recorder
        self._scheduler = scheduler
        self._clock = time_source
        self._stopped = False

    def run(self) -> None:
        """Commit batches until stopped."""
        while not self._stopped:
            self._step()

    def stop(self) -> None:
        """End the loop after the batch at hand."""
        self._stopped = True
        self._scheduler.wake()

    def drain(self, timeout: clock.Ms) -> int:
        """Wait until nothing is left to write, before the daemon ends.

        :param span: ms to wait at most.
        :return: changes that are left; their keys stay "unknown".
        """
        deadline = self._clock.now() + timeout
        while len(self._recorder.writer) and self._clock.now() < deadline:
            self._scheduler.sleep(10)
        return len(self._recorder.writer)

    def _step(self) -> None:
        if self._recorder.commit_batch():
            return
        writer = self._recorder.writer
        if not len(writer):
            self._scheduler.wait_for_wake(_IDLE_WAIT)
            return
        # Not woken by each new claim: it shares the batch that is due.
        self._scheduler.sleep(max(1, writer.wait(self._clock.now())))
