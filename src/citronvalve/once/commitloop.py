"""The loop that commits batches while the daemon runs."""

from citronvalve.model import clock
from citronvalve.once import recorder as recorders
from citronvalve.once import scheduler as schedulers

#: Longest wait of an idle loop, in case a wake-up is missed.
_IDLE_WAIT: clock.Ms = 1_000


class CommitLoop:
    """The only task that commits the changes of a recorder.

    :param recorder: supplies the batches.
    :param scheduler: the scheduler that the recorder uses.
    :param time_source: the clock.
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
        """End the loop after the current batch."""
        self._stopped = True
        self._scheduler.wake()

    def drain(self, timeout: clock.Ms) -> int:
        """Wait until all changes are written, before the daemon ends.

        :param timeout: longest wait in ms.
        :return: number of changes left; the outcome of their keys stays
            unknown.
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
        # New claims do not interrupt this wait; they join the next batch.
        self._scheduler.sleep(max(1, writer.wait(self._clock.now())))
