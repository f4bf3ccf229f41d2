"""Puts in force what operators declare."""

from citronvalve.daemon import ports as ports_
from citronvalve.forward import directory as directories
from citronvalve.forward import environment as environments
from citronvalve.model import clock
from citronvalve.model import missing
from citronvalve.storage import rows
from citronvalve.storage import tablelistener


class Declarations(tablelistener.TableListener):
    """Takes each version of the configuration and each evacuation.

    :param env: the daemon's environment.
    :param directory: takes what is in force.
    :param ports: reads the rows.
    """

    def __init__(
        self,
        env: environments.Environment,
        directory: directories.Directory,
        ports: ports_.Ports,
    ) -> None:
        self._env = env
        self._directory = directory
        self._ports = ports
        self._declared_version = 0

    def replace_all(self, found: tuple[rows.Row, ...]) -> None:
        self._set_out(frozenset(filter(None, map(self._out, found))))
        for row in found:
            self._declared(row)

    def apply_changes(
        self, found: tuple[rows.Row, ...], gone: tuple[str, ...]
    ) -> None:
        out = set(self._directory.datacentres_out)
        out |= set(filter(None, map(self._out, found)))
        back = {self._ports.datacentre_out(key) for key in gone}
        self._set_out(frozenset(out - back))
        for row in found:
            self._declared(row)

    def confirm(self, at: clock.Ms) -> None:
        self._directory.confirmed_at = at

    def _out(self, row: rows.Row) -> str | None:
        return self._ports.datacentre_out(row.key)

    def _set_out(self, out: frozenset[str]) -> None:
        if out != self._directory.datacentres_out:
            self._env.log.change("data centres out", out=sorted(out))
            self._directory.set_datacentres_out(out)

    def _declared(self, row: rows.Row) -> None:
        if row.key != self._ports.catalogue_key:
            return
        if row.version <= self._declared_version:
            return
        self._declared_version = row.version
        read = self._ports.catalogue(row)
        if isinstance(read, missing.Missing):
            held = self._directory.catalogue
            self._env.log.change(
                "configuration refused",
                why=read.reason,
                kept=held.version if held else 0,
            )
            return
        if self._directory.adopt(read):
            self._env.log.change(
                "configuration in force",
                version=read.version,
                routes=len(read.route_by_prefix),
                row=row.version,
            )
