"""Dependencies that all handlers share."""

import random
from typing import NamedTuple

import logbook

from citronvalve.entry import metrics
from citronvalve.model import clock
from citronvalve.model import invariant


class RequestLimits(NamedTuple):
    """Limits on what a caller may send.

    ``max_body_size`` is in bytes, ``max_deadline`` in ms;
    ``max_prompt_length`` is in characters of all messages together.
    """

    max_body_size: int = 1_048_576
    max_deadline: clock.Ms = 600_000
    max_prompt_length: int = 524_288


class Environment(NamedTuple):
    """Configuration and dependencies of one daemon."""

    name: str
    datacentre: str
    clock: clock.Clock
    rng: random.Random
    log: logbook.Logger
    metrics: metrics.Metrics
    invariants: invariant.Invariants
    limits: RequestLimits
