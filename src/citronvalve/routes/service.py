"""Declared services."""

from typing import NamedTuple

from citronvalve.model import clock
from citronvalve.routes import enginespec


class Service(NamedTuple):
    """A service: upstreams that handle the same requests.

    ``max_connections`` is the limit of one upstream for all callers
    together.  An upstream is cold for ``cold_time`` ms after its start and
    accepts ``cold_rate`` requests a second meanwhile; 0 means no limit.
    ``engine`` is None for a plain service.
    """

    name: str
    health_path: str
    max_connections: int
    cold_time: clock.Ms = 0
    cold_rate: float = 0.0
    engine: enginespec.EngineSpec | None = None
