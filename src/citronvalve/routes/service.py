"""A declared service: upstreams that do the same work."""

from typing import NamedTuple

from citronvalve.model import clock
from citronvalve.routes import enginespec


class Service(NamedTuple):
    """``connections`` is the most that one upstream takes from all callers.

    An upstream that has just started is cold for ``cold_time`` and then
    bears ``cold_rate`` requests a second; 0 means no bound.  ``engine`` is
    None for a plain service.
    """

    name: str
    health_path: str
    max_connections: int
    cold_time: clock.Ms = 0
    cold_rate: float = 0.0
    engine: enginespec.EngineSpec | None = None
