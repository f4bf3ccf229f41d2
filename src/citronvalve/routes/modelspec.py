"""Declared performance figures of a model."""

from typing import NamedTuple

from citronvalve.model import clock


class ModelSpec(NamedTuple):
    """A model; each replica has ``size`` runners of one fabric domain.

    ``initial_share`` is the model's assumed share of the work until demand
    is known, ``time_factor`` a factor on all of a replica's times.
    Loading the weights takes ``load_time`` from the weight store and
    ``staged_load_time`` if they are staged on the host.
    """

    name: str
    size: int
    initial_share: float
    time_factor: float
    load_time: clock.Ms
    staged_load_time: clock.Ms
