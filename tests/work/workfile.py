"""Callers, replicas and troubles of a site, in JSON with comments."""

import math
import pathlib

import json5
import msgspec


class WorkError(Exception):
    """The file can't be used; names the place and the remedy."""


class RequestMix(msgspec.Struct, forbid_unknown_fields=True):
    """One kind of request; times in ms, rates per second.

    ``worth`` is that of an answer in time and ``late_worth`` that of a late
    one.
    """

    name: str
    model: str
    rate: float
    prompt_tokens: int
    events: int
    objective: int
    gap_objective: int
    timeout: int
    worth: float
    late_worth: float
    priority: int = 0


class ModelMix(msgspec.Struct, forbid_unknown_fields=True):
    """A model: runners of a replica, factor on times, ms of its loads."""

    size: int
    time_factor: float
    load_time: int
    staged_load_time: int


class Burst(msgspec.Struct, forbid_unknown_fields=True):
    """A kind of request comes ``factor`` times as often.

    ``begin`` and ``end`` are ms after the start.  It is confined to one data
    centre unless that is -1.
    """

    kind: str
    factor: float
    begin: int
    end: int
    datacentre: int = -1


class TeamBurst(msgspec.Struct, forbid_unknown_fields=True):
    """Team 0 sends ``factor`` times as much; times as in :class:`Burst`."""

    factor: float
    begin: int
    end: int


class Crest(msgspec.Struct, forbid_unknown_fields=True):
    """Every ``interval``, ``factor`` times the rate for ``length``."""

    factor: float
    length: int
    interval: int


class Trouble(msgspec.Struct, forbid_unknown_fields=True):
    """What befalls the daemons' reports; times as in :class:`Burst`.

    ``lost`` is the part of reports that is lost.  Daemon 0 is ``cut`` off
    from the others.  At ``restart`` every second daemon loses its state.
    """

    begin: int
    end: int
    lost: float = 0.0
    cut: bool = False
    restart: int = 0


class Work(msgspec.Struct, forbid_unknown_fields=True):
    """A site and its work; times in ms.

    ``swing`` is how far the rate of each data centre swings around its mean,
    in opposite phases, every ``swing_period``.  Every ``loss_interval`` one
    member of a replica of each model is lost, and from the fourth time on
    ``added`` empty runners are added.  ``datacentre_out`` leaves from
    ``out_begin`` to ``out_end``.

    ``datacentre_shares`` are the data centres' parts of the rates, equal if
    empty.  Their swings are ``swing_spread`` periods apart in all.  If
    ``lost_members`` is not 0, so many members of any replicas of a data
    centre are lost each time instead.  The runners of ``dark_domain`` do not
    answer from ``dark_begin`` to ``dark_end`` and come back empty.

    With ``report_steps``, daemons report in turns, in that many parts of the
    usual interval.  With ``own_chance``, each daemon draws from a source of
    its own, so that the same calls come whatever the daemons choose.

    Requests come from ``teams`` teams, all alike but for a ``team_burst``,
    and ``fair_shares`` switches on that feature.
    """

    domains: int
    domain_size: int
    datacentres: int
    daemons: int
    slots: int
    step_time: float
    prefill_tokens_per_ms: float
    remote_latency: float
    models: dict[str, ModelMix]
    requests: list[RequestMix]
    duration: int = 30_000
    swing: float = 0.0
    swing_period: int = 11_000
    loss_interval: int = 0
    added: int = 0
    heads_too: bool = False
    datacentre_out: int = -1
    out_begin: int = 0
    out_end: int = 0
    bursts: list[Burst] = []
    datacentre_shares: list[float] = []
    swing_spread: float = 1.0
    loads_per_second: float = 14.0
    lost_members: int = 0
    dark_domain: int = -1
    dark_begin: int = 0
    dark_end: int = 0
    report_steps: int = 1
    own_chance: bool = False
    teams: int = 1
    team_burst: TeamBurst | None = None
    crest: Crest | None = None
    trouble: Trouble | None = None
    fair_shares: bool = False


def read(path: pathlib.Path) -> Work:
    """Return a work.

    :param path: the file.
    :raises WorkError: if it can't be read or contradicts itself.
    """
    try:
        work = msgspec.convert(json5.loads(path.read_text()), Work)
    except (OSError, ValueError, msgspec.ValidationError) as error:
        raise WorkError(f"{path.name}: {error}; correct the field") from error
    for problem in _problems(work):
        raise WorkError(f"{path.name}: {problem}")
    return work


def _problems(work: Work):
    for name, model in work.models.items():
        if not 0 < model.size <= work.domain_size:
            yield (
                f"models.{name}.size: {model.size} is not between 1 and "
                f"domain_size, {work.domain_size}"
            )
    for kind in work.requests:
        place = f"requests.{kind.name}"
        if kind.model not in work.models:
            yield f"{place}.model: {kind.model} is not among the models"
        if kind.rate < 0:
            yield f"{place}.rate: {kind.rate} is negative; use 0 for none"
        if kind.worth <= 0:
            yield f"{place}.worth: {kind.worth} must be above 0"
        if not 0 < kind.objective < kind.timeout:
            yield (
                f"{place}.objective: {kind.objective} must be above 0 and "
                f"below the timeout, {kind.timeout}"
            )
    if work.datacentre_shares and (
        len(work.datacentre_shares) != work.datacentres
        or not math.isclose(sum(work.datacentre_shares), 1.0, abs_tol=0.001)
    ):
        yield (
            f"datacentre_shares: {work.datacentre_shares} are not one for "
            "each data centre with a sum of 1"
        )
    known = {kind.name for kind in work.requests}
    for burst in work.bursts:
        if burst.kind not in known:
            yield f"bursts: {burst.kind} is not among the requests"
