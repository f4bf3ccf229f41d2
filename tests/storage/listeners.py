"""The daemon's table listeners, each with the keys that it has in use."""

import random

from citronvalve.daemon import configurationlistener
from citronvalve.daemon import runnerlistener
from citronvalve.forward import directory as directories
from citronvalve.forward import environment as environments
from citronvalve.forward import headernames
from citronvalve.policy import upstreamchoice
from citronvalve.replicas import runner as runners
from citronvalve.storage import rows
from tests import quietlog

_DATACENTRE = "hakodate"


class _Platform:
    """The part of the platform's interface that declarations need.

    Each row takes the data centre of its key out of service.
    """

    catalogue_key = "configuration"

    @staticmethod
    def parse_datacentre_out(key: str) -> str:
        """Return the data centre that a key takes out of service."""
        return key


def _environment(time_source):
    return environments.Environment(
        "d",
        _DATACENTRE,
        time_source,
        random.Random(1),
        quietlog.QuietLog(),
        headernames.HeaderNames(),
    )


class UpstreamListener(runnerlistener.RunnerListener):
    """The list of upstreams; its keys are the upstreams in use."""

    def __init__(self, time_source):
        self.directory = directories.Directory(_DATACENTRE)
        super().__init__(
            _environment(time_source),
            self.directory,
            upstreamchoice.LoadTable(),
            _runner,
        )

    @property
    def keys(self):
        """Return the ids of the upstreams that can get requests."""
        return set(self.directory.runner_by_id)


class EvacuationListener(configurationlistener.ConfigurationListener):
    """The declarations; its keys are the data centres out of service."""

    def __init__(self, time_source):
        self.directory = directories.Directory(_DATACENTRE)
        super().__init__(
            _environment(time_source), self.directory, _Platform()
        )

    @property
    def keys(self):
        """Return the names of the data centres that get no new work."""
        return set(self.directory.datacentres_out)


def _runner(row: rows.Row) -> runners.Runner:
    return runners.Runner(
        id=row.key,
        service="ledger",
        address="127.0.0.1:1",
        datacentre=_DATACENTRE,
        leaving=False,
        domain="1",
        slots=1,
        staged=(),
        membership=None,
        cold_until=0,
        start_id=1,
        list_version=row.version,
    )
