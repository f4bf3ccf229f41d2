"""A model as a service's engines run it."""

from typing import NamedTuple

from citronvalve.model import clock


class ModelSpec(NamedTuple):
    """One replica takes ``size`` runners of one fabric domain.

    ``share`` is the model's part of the work at the start, ``pace`` a
    factor on all of a replica's times.  ``load`` ms bring the weights from
    the weight store, ``warm`` ms those that are staged on the host.
    """

    name: str
    size: int
    initial_share: float
    time_factor: float
    load_time: clock.Ms
    staged_load_time: clock.Ms
