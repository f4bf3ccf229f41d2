"""Brings new versions of the operators' table into force."""

import eventlet

from citronvalve.entry import environment as environments
from citronvalve.entry import view as views
from citronvalve.model import clock
from citronvalve.model import declared
from citronvalve.platform import tableservice
from citronvalve.table import reading

_EVERY: clock.Ms = 500


class TableTask:
    """Reads the table in a period.

    :param env: the daemon's environment.
    :param view: takes the versions.
    :param table: the platform's table service.
    """

    def __init__(
        self,
        env: environments.Environment,
        view: views.View,
        table: tableservice.TableService,
    ) -> None:
        self._env = env
        self._view = view
        self._table = table

    def run(self) -> None:
        """Read for ever."""
        while True:
            self.step()
            eventlet.sleep(_EVERY / clock.SECOND)

    def step(self) -> None:
        """Read once."""
        read = reading.read(self._table)
        if isinstance(read, declared.Declared):
            if self._view.adopt(read):
                self._env.log.info(
                    "table in force", extra={"version": read.version}
                )
            return
        self._env.log.warning("table not read", extra={"why": read.reason})
