"""What a process holds at most: memory and descriptors."""

import pathlib

import eventlet

_LOOK_EVERY = 0.02
_KIBIBYTE = 1_024


class Watched:
    """Looks at a process again and again, on a green thread.

    :param pid: the process.
    :ivar descriptors: most that it had open.
    """

    def __init__(self, pid: int) -> None:
        self._folder = pathlib.Path(f"/proc/{pid}")
        self.descriptors = 0
        self._task = eventlet.spawn(self._run)

    def close(self) -> None:
        """Stop looking."""
        self._task.kill()

    @property
    def is_alive(self) -> bool:
        """Return whether the process runs."""
        try:
            state = (self._folder / "stat").read_text().rpartition(")")[2]
        except OSError:
            return False
        return state.split()[0] not in "ZX"

    def resident(self, name: str = "VmHWM") -> int:
        """Return bytes of its memory, the most there were by default.

        :param name: of the line in its status.
        """
        lines = (self._folder / "status").read_text().splitlines()
        kib = next(one.split()[1] for one in lines if one.startswith(name))
        return int(kib) * _KIBIBYTE

    def look(self) -> None:
        """Look once."""
        count = len(list((self._folder / "fd").iterdir()))
        self.descriptors = max(self.descriptors, count)

    def _run(self) -> None:
        while self.is_alive:
            try:
                self.look()
            except OSError:
                return
            eventlet.sleep(_LOOK_EVERY)
