"""Applies the configuration and the evacuations of operators."""

from citronvalve.daemon import platforminterface as ports_
from citronvalve.forward import directory as directories
from citronvalve.forward import environment as environments
from citronvalve.model import clock
from citronvalve.model import missing
from citronvalve.storage import rows
from citronvalve.storage import tablelistener


class ConfigurationListener(tablelistener.TableListener):
    """Applies each configuration version and each evacuation.

    :param env: the daemon's environment.
    :param directory: holds the configuration in force.
    :param platform: decodes the rows.
    """

    def __init__(
        self,
        env: environments.Environment,
        directory: directories.Directory,
        platform: ports_.PlatformInterface,
    ) -> None:
        self._env = env
        self._directory = directory
        self._platform = platform
        self._declared_version = 0

    def replace_all(self, found: tuple[rows.Row, ...]) -> None:
        self._set_datacentres_out(
            frozenset(filter(None, map(self._datacentre_out, found)))
        )
        for row in found:
            self._apply_configuration(row)

    def apply_changes(
        self, found: tuple[rows.Row, ...], gone: tuple[str, ...]
    ) -> None:
        out = set(self._directory.datacentres_out)
        out |= set(filter(None, map(self._datacentre_out, found)))
        back = {self._platform.parse_datacentre_out(key) for key in gone}
        self._set_datacentres_out(frozenset(out - back))
        for row in found:
            self._apply_configuration(row)

    def confirm(self, at: clock.Ms) -> None:
        self._directory.confirmed_at = at

    def _datacentre_out(self, row: rows.Row) -> str | None:
        return self._platform.parse_datacentre_out(row.key)

    def _set_datacentres_out(self, out: frozenset[str]) -> None:
        if out != self._directory.datacentres_out:
            self._env.log.change("data centres out", out=sorted(out))
            self._directory.set_datacentres_out(out)

    def _apply_configuration(self, row: rows.Row) -> None:
        if row.key != self._platform.catalogue_key:
            return
        if row.version <= self._declared_version:
            return
        self._declared_version = row.version
        catalogue = self._platform.decode_catalogue(row)
        if isinstance(catalogue, missing.Missing):
            current = self._directory.catalogue
            self._env.log.change(
                "configuration refused",
                why=catalogue.reason,
                kept=current.version if current else 0,
            )
            return
        if self._directory.adopt(catalogue):
            self._env.log.change(
                "configuration in force",
                version=catalogue.version,
                routes=len(catalogue.route_by_prefix),
                row=row.version,
            )
