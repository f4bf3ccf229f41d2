"""Interface between a daemon and the platform that it runs on."""

from collections.abc import Callable
from typing import NamedTuple

from citronvalve.daemon import entrysettings
from citronvalve.forward import headernames
from citronvalve.model import missing
from citronvalve.replicas import runner
from citronvalve.replicas import runnerclient
from citronvalve.routes import catalogue
from citronvalve.storage import rows
from citronvalve.storage import tableservice


class PlatformInterface(NamedTuple):
    """Access to the platform's tables, runners and settings.

    ``open_table`` creates a table service with separate connections, so that
    one that waits for changes blocks no other.  ``runners_table`` and
    ``operators_table`` name the tables of the upstreams and of the
    operators' declarations.  ``decode_runner`` and ``decode_catalogue``
    decode their rows, ``parse_datacentre_out`` returns the data centre that
    a row's key takes out of service, if any.  ``reload_settings`` reads the
    settings again and raises :class:`errors.SettingsError` as at the start.
    """

    open_table: Callable[[], tableservice.TableService]
    runners_table: str
    operators_table: str
    decode_runner: Callable[[rows.Row], runner.Runner | missing.Missing]
    decode_catalogue: Callable[
        [rows.Row], catalogue.Catalogue | missing.Missing
    ]
    parse_datacentre_out: Callable[[str], str | None]
    catalogue_key: str
    runner_client: runnerclient.RunnerClient
    header_names: headernames.HeaderNames
    ready_path: str
    reload_settings: Callable[[], entrysettings.EntrySettings]
