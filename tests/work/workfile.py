"""Callers, replicas and troubles of a site, in JSON with comments."""

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


class ModelMix(msgspec.Struct, forbid_unknown_fields=True):
    """A model: runners of a replica, factor on times, ms of its loads."""

    size: int
    time_factor: float
    load_time: int
    staged_load_time: int


class Burst(msgspec.Struct, forbid_unknown_fields=True):
    """A kind of request comes ``factor`` times as often.

    ``begin`` and ``end`` are ms after the start.
    """

    kind: str
    factor: float
    begin: int
    end: int


class Work(msgspec.Struct, forbid_unknown_fields=True):
    """A site and its work; times in ms.

    ``swing`` is how far the rate of each data centre swings around its mean,
    in opposite phases, every ``swing_period``.  Every ``loss_interval`` one
    member of a replica of each model is lost, and from the fourth time on
    ``added`` empty runners are added.  ``datacentre_out`` leaves from
    ``out_begin`` to ``out_end``.  With ``report_steps``, daemons report in
    turns, in that many parts of the usual interval.  With ``own_chance``,
    each daemon draws from a source of its own, so that the same calls come
    whatever the daemons choose.
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
    report_steps: int = 1
    own_chance: bool = False


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
    known = {kind.name for kind in work.requests}
    for burst in work.bursts:
        if burst.kind not in known:
            yield f"bursts: {burst.kind} is not among the requests"
