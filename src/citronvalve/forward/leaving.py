"""Heeds that upstreams say in their answers that they leave."""

from citronvalve.forward import directory as directories
from citronvalve.forward import environment as environments
from citronvalve.forward import headers
from citronvalve.forward import responsehead

#: The value of an upstream that leaves.
_LEAVES = b"1"

#: Longest part of an unreadable value that is logged.
_MAX_SHOWN = 40


class Leaving:
    """Records which upstreams have said that they leave.

    :param env: the daemon's environment.
    :param directory: the upstreams.
    """

    def __init__(
        self,
        env: environments.Environment,
        directory: directories.Directory,
    ) -> None:
        self._env = env
        self._directory = directory
        self._unreadable: set[str] = set()
        self._start_by_upstream: dict[str, int] = {}

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
            self._record(upstream)
        else:
            self._note_unreadable(upstream, text)

    def _record(self, upstream: str) -> None:
        runner = self._directory.runner_by_id.get(upstream)
        if runner is None:
            return
        if self._start_by_upstream.get(upstream) == runner.start_id:
            return
        self._start_by_upstream[upstream] = runner.start_id
        self._env.log.change(
            "upstream leaving",
            upstream=upstream,
            start_id=runner.start_id,
            listed_as_leaving=runner.leaving,
        )

    def _note_unreadable(self, upstream: str, text: bytes) -> None:
        if upstream in self._unreadable:
            return
        self._unreadable.add(upstream)
        self._env.log.change(
            "leaving unreadable",
            upstream=upstream,
            value=text[:_MAX_SHOWN].decode("latin-1"),
            why="1 is expected of an upstream that leaves",
        )
