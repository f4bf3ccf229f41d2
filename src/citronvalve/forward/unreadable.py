"""Logs what upstreams say of their needs where it can't be read."""

from citronvalve.forward import environment as environments

#: Longest part of a value that is logged.
_MAX_SHOWN = 40


class UnreadableValues:
    """Logs values of one header, once for each upstream.

    An upstream repeats its value in each answer.

    :param env: the daemon's environment.
    :param event: the event that is logged.
    :param expected: what the header should hold.
    """

    def __init__(
        self, env: environments.Environment, event: str, expected: str
    ) -> None:
        self._env = env
        self._event = event
        self._expected = expected
        self._upstreams: set[str] = set()

    def note(self, upstream: str, value: bytes) -> None:
        """Log a value, unless the upstream has sent one before.

        :param upstream: its id.
        :param value: as received.
        """
        if upstream in self._upstreams:
            return
        self._upstreams.add(upstream)
        self._env.log.change(
            self._event,
            upstream=upstream,
            value=value[:_MAX_SHOWN].decode("latin-1"),
            why=f"{self._expected} is expected",
        )

    def retain(self, upstreams: set[str]) -> None:
        """Forget all other upstreams.

        :param upstreams: the ids to keep.
        """
        self._upstreams &= upstreams
