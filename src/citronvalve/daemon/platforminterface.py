"""What a daemon is given to reach the machines that it runs on."""

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
    """The platform in the product's terms.

    ``open_table`` makes a table service with connections of its own, so
    that one that waits for changes holds up no other.  ``runners`` and
    ``operators`` name the tables of the upstreams and of the operators'
    declarations; the three functions read their rows.  ``reload`` reads the
    settings anew and raises :class:`errors.SettingsError` as at the start.
    """

    open_table: Callable[[], tableservice.TableService]
    runners_table: str
    operators_table: str
    decode_runner: Callable[[rows.Row], runner.Runner | None]
    decode_catalogue: Callable[
        [rows.Row], catalogue.Catalogue | missing.Missing
    ]
    parse_datacentre_out: Callable[[str], str | None]
    catalogue_key: str
    runner_client: runnerclient.RunnerClient
    header_names: headernames.HeaderNames
    ready_path: str
    reload_settings: Callable[[], entrysettings.EntrySettings]
