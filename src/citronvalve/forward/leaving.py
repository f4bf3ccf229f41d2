"""Heeds that upstreams say in their answers that they leave."""

from collections.abc import Callable

from citronvalve.forward import directory as directories
from citronvalve.forward import environment as environments
from citronvalve.forward import headers
from citronvalve.forward import responsehead
from citronvalve.forward import unreadable

#: The value of an upstream that leaves.
_LEAVES = b"1"


class Leaving:
    """Records which upstreams have said that they leave.

    They get nothing new until they start again.

    :param env: the daemon's environment.
    :param directory: the upstreams.
    :ivar on_change: called with the id of an upstream that has told this
        daemon that it leaves.
    """

    def __init__(
        self,
        env: environments.Environment,
        directory: directories.Directory,
    ) -> None:
        self._env = env
        self._directory = directory
        self._unreadable = unreadable.UnreadableValues(
            env, "leaving unreadable", "1, or no such header,"
        )
        self.on_change: Callable[[str], None] = lambda _: None

    def record_answer(
        self, upstream: str, response: responsehead.ResponseHead
    ) -> None:
        """Record whether the upstream of an answer leaves.

        :param upstream: the upstream's id.
        :param response: the answer's head.
        """
        if response.status == 421:
            # It comes from whatever has the upstream's address now.
            return
        names = self._env.header_names
        text = headers.find(response.headers, names.leaving)
        if text is None:
            return
        if text.strip() == _LEAVES:
            self._record_own(upstream)
        else:
            self._unreadable.note(upstream, text)

    def start_by_upstream(self) -> dict[str, int]:
        """Return the listed upstreams that leave, and their starts."""
        return self._directory.leaving_start_by_id()

    def record(self, upstream: str, start_id: int, found: str) -> bool:
        """Record that an upstream leaves; return whether that is new.

        :param upstream: its id.
        :param start_id: the start that leaves.
        :param found: ``here`` or ``elsewhere``, for the log.
        """
        runner = self._directory.runner_by_id.get(upstream)
        is_listed = runner is not None and runner.leaving
        if not self._directory.mark_leaving(upstream, start_id):
            return False
        self._env.log.change(
            "upstream leaving",
            upstream=upstream,
            start_id=start_id,
            listed_as_leaving=is_listed,
            found=found,
        )
        return True

    def retain(self, upstreams: set[str]) -> None:
        """Drop what is known of the values of all other upstreams.

        :param upstreams: the ids to keep.
        """
        self._unreadable.retain(upstreams)

    def set_gauges(self) -> None:
        """Set the gauge of the upstreams that leave."""
        self._env.metrics.set_gauge(
            "leaving_upstreams",
            "Have said that they leave.",
            len(self.start_by_upstream()),
        )

    def _record_own(self, upstream: str) -> None:
        runner = self._directory.runner_by_id.get(upstream)
        if runner is not None and self.record(
            upstream, runner.start_id, "here"
        ):
            self.on_change(upstream)
