"""The one object that carries what every handler needs."""

import random
from typing import NamedTuple

import logbook

from citronvalve.entry import metrics
from citronvalve.model import clock
from citronvalve.model import invariant


class RequestLimits(NamedTuple):
    """Limits on what a caller may send.

    ``body``: bytes of a body.  ``deadline``: longest deadline in ms.
    ``prompt``: characters of all messages.
    """

    max_body_size: int = 1_048_576
    max_deadline: clock.Ms = 600_000
    max_prompt_length: int = 524_288


class Environment(NamedTuple):
    """Configuration and services of one daemon, passed to all handlers."""

    name: str
    datacentre: str
    clock: clock.Clock
    rng: random.Random
    log: logbook.Logger
    metrics: metrics.Metrics
    invariants: invariant.Invariants
    limits: RequestLimits
