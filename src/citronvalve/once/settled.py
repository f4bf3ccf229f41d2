"""How a change of a key's row ended."""

from typing import NamedTuple

from citronvalve.model import missing
from citronvalve.once import job as jobs
from citronvalve.once import record as records


class Owned(NamedTuple):
    """The key is claimed; its row has this version."""

    version: int


class Taken(NamedTuple):
    """The key has a row of another attempt."""

    record: records.Record


class Recorded(NamedTuple):
    """The row says how the dispatch ended, or is gone."""


class Failed(NamedTuple):
    """The claim was given up before anything was dispatched."""

    reason: missing.Missing


class Settled(NamedTuple):
    """One change and its end."""

    job: jobs.Job
    end: Owned | Taken | Recorded | Failed
