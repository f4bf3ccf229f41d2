"""A checkout of the project with the environment that it is installed in."""

import pathlib
import sys
from typing import NamedTuple

ROOT = pathlib.Path(__file__).parent.parent.parent

_COUNTING = ROOT / "standins" / "builds" / "counting.py"


class Build(NamedTuple):
    """Where a build lies, and where its daemons write their counts.

    ``counts`` is the folder for the counts of received messages; without
    one, a daemon runs as it does in service.
    """

    root: pathlib.Path = ROOT
    counts: pathlib.Path | None = None

    @property
    def interpreter(self) -> str:
        """Return the path of the interpreter."""
        if self.root == ROOT:
            return sys.executable
        return str(self.root / ".venv" / "bin" / "python")

    def arguments(self, name: str, program: str) -> list[str]:
        """Return what the interpreter runs for a program of this build.

        :param name: of the process, for its counts.
        :param program: path of a script, or a module's dotted name.
        """
        script = program.endswith(".py")
        if self.counts is None:
            return [program] if script else ["-m", program]
        return [str(_COUNTING), str(self.counts / f"{name}.json"), program]


HERE = Build()
