"""Readers of a table as the daemon has them, with what each believes in."""

import random

from citronvalve.daemon import declarations
from citronvalve.daemon import runnerlist
from citronvalve.forward import dialect
from citronvalve.forward import directory as directories
from citronvalve.forward import environment as environments
from citronvalve.policy import upstreamchoice
from citronvalve.replicas import runner as runners
from citronvalve.storage import rows
from tests import quietlog

_DATACENTRE = "hakodate"


class _Ports:
    """As much of the platform as declarations need.

    Each row takes out the data centre that its key names.
    """

    catalogue_key = "configuration"

    @staticmethod
    def datacentre_out(key: str) -> str:
        """Return the data centre that a key takes out."""
        return key


def _environment(now):
    return environments.Environment(
        "d",
        _DATACENTRE,
        now,
        random.Random(1),
        quietlog.QuietLog(),
        dialect.Dialect(),
    )


class Upstreams(runnerlist.RunnerList):
    """The list of upstreams; believes in those of the directory."""

    def __init__(self, now):
        self.directory = directories.Directory(_DATACENTRE)
        super().__init__(
            _environment(now),
            self.directory,
            upstreamchoice.LoadBook(),
            _runner,
        )

    @property
    def keys(self):
        """Return the ids of the upstreams that may get requests."""
        return set(self.directory.runner_by_id)


class Evacuations(declarations.Declarations):
    """The operators' declarations; believes in data centres taken out."""

    def __init__(self, now):
        self.directory = directories.Directory(_DATACENTRE)
        super().__init__(_environment(now), self.directory, _Ports())

    @property
    def keys(self):
        """Return the names of the data centres that get no new work."""
        return set(self.directory.out)


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
        born=1,
        seen=row.version,
    )
