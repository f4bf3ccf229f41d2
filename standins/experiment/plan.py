"""What an experiment starts, sends and does; read from a file."""

import pathlib
from typing import Annotated

import json5
import msgspec

from citronvalve.model import clock
from citronvalve.model import errors

_Positive = Annotated[int, msgspec.Meta(ge=1)]


class Team(msgspec.Struct, forbid_unknown_fields=True):
    """A team's weight in the table and its share of the load."""

    name: str
    share: float
    weight: float = 1.0


class Engines(msgspec.Struct, forbid_unknown_fields=True):
    """Engines of each data centre; times in ms.

    ``tokens`` is how many tokens each answer has.
    """

    per_datacentre: _Positive
    slots: _Positive
    cold_slots: _Positive = 1
    ramp: int = 0
    token_time: int = 20
    first_time: int = 50
    tokens: _Positive = 20


class Event(msgspec.Struct, forbid_unknown_fields=True):
    """Something done at a moment, in ms from the start of the load.

    ``act`` is one of leave and return (a data centre, by an edit of the
    table), kill, stop, continue and start (a process), and fault (an
    engine, named by ``what`` as ENGINE:FAULT).
    """

    at: clock.Ms
    act: str
    what: str


class Plan(msgspec.Struct, forbid_unknown_fields=True):
    """One experiment; ``rate`` is requests a second over ``span`` ms."""

    name: str
    datacentres: list[str]
    daemons: _Positive
    engines: Engines
    teams: list[Team]
    rate: float
    span: clock.Ms
    deadline: clock.Ms
    seed: int = 1
    settle: clock.Ms = 0
    events: list[Event] = []


def load(path: str) -> Plan:
    """Read a plan.

    :param path: of a JSON file with comments.
    :raises errors.SettingsError: naming the mistake and its place.
    """
    try:
        read = json5.loads(pathlib.Path(path).read_text())
        return msgspec.convert(read, Plan)
    except (OSError, ValueError) as error:
        raise errors.SettingsError(
            str(error), where=path, remedy="see examples/experiments"
        ) from error
