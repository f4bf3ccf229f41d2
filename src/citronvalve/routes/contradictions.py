"""Checks for limits that contradict each other."""

from collections.abc import Iterator

from citronvalve.model import finding
from citronvalve.routes import circumstances
from citronvalve.routes import draft as drafts
from citronvalve.routes import enginespec
from citronvalve.routes import kind
from citronvalve.routes import route as routes_
from citronvalve.routes import service as services_

_Findings = Iterator[finding.Finding]


def check_version(
    draft: drafts.Draft, given: circumstances.Circumstances
) -> _Findings:
    """Find a version that daemons would not adopt.

    :param draft: the configuration.
    :param given: the version in force.
    """
    if given.version is not None and draft.version <= given.version:
        yield finding.Finding(
            "version",
            f"{draft.version} is not above {given.version}, which is in "
            "force; daemons ignore it",
            f"give a version above {given.version}",
        )


def check_times(
    draft: drafts.Draft, _given: circumstances.Circumstances
) -> _Findings:
    """Find timeouts that are below the objectives of their route.

    :param draft: the configuration.
    """
    for route in draft.routes:
        place = f"routes/{route.name}.timeout"
        if route.timeout <= 0:
            yield finding.Finding(
                place,
                f"{route.timeout} ms leave no time for any request",
                "give a time above 0",
            )
            continue
        objectives = {
            "latency_objective": route.latency_objective,
            "gap_objective": route.gap_objective,
        }
        for name, objective in objectives.items():
            if objective > route.timeout:
                yield finding.Finding(
                    place,
                    f"{route.timeout} ms are below the {name} of "
                    f"{objective} ms",
                    "raise the timeout, or lower the objective",
                )


def check_attempts(
    draft: drafts.Draft, given: circumstances.Circumstances
) -> _Findings:
    """Find attempts that are never made.

    :param draft: the configuration.
    :param given: what the retry budget allows.
    """
    for route in draft.routes:
        if route.max_attempts > 1:
            yield from _check_attempts(route, given.retries)
        if route.resumable and route.kind is not kind.RequestKind.STREAM:
            yield finding.Finding(
                f"routes/{route.name}.resumable",
                f"requests of the kind {route.kind} can't be resumed",
                "make the route a stream, or leave it out",
            )


def _check_attempts(route: routes_.Route, retries: int | None) -> _Findings:
    place = f"routes/{route.name}.max_attempts"
    if not route.may_repeat:
        yield finding.Finding(
            place,
            f"{route.max_attempts} attempts, and a request of the kind "
            f"{route.kind} may not be repeated here",
            "give 1",
        )
        return
    fastest = route.max_attempts * route.latency_objective
    if fastest > route.timeout >= route.latency_objective:
        yield finding.Finding(
            place,
            f"{route.max_attempts} attempts that each meet the objective of "
            f"{route.latency_objective} ms exceed the timeout of "
            f"{route.timeout} ms",
            "allow fewer attempts, or raise the timeout",
        )
    if retries is not None and retries < route.max_attempts - 1:
        yield finding.Finding(
            place,
            f"{route.max_attempts} attempts, and the retry budget allows "
            f"{retries} retries to a single request",
            f"give at most {retries + 1}, or raise the retry budget",
        )


def check_services(
    draft: drafts.Draft, given: circumstances.Circumstances
) -> _Findings:
    """Find limits of services that exclude each other.

    :param draft: the configuration.
    :param given: the number of runners.
    """
    for service in draft.services:
        place = f"services/{service.name}"
        if service.max_connections < 1:
            yield finding.Finding(
                f"{place}.max_connections",
                f"{service.max_connections} connections carry no request",
                "give at least 1",
            )
        if service.cold_rate > 0 and service.cold_time <= 0:
            yield finding.Finding(
                f"{place}.cold_rate",
                "it holds during a cold start, which takes no time",
                "give a cold_time, or leave out the rate",
            )
        if service.engine:
            yield from _check_engine(place, service, service.engine)
            yield from _check_models(place, service.engine, given.runners)


def _check_engine(
    place: str, service: services_.Service, engine: enginespec.EngineSpec
) -> _Findings:
    if engine.slots < 1:
        yield finding.Finding(
            f"{place}.engine.slots",
            f"{engine.slots} slots take no request",
            "give at least 1",
        )
    if 1 <= service.max_connections < engine.slots:
        yield finding.Finding(
            f"{place}.max_connections",
            f"{service.max_connections} connections never fill the "
            f"{engine.slots} slots of an engine",
            "allow as many connections as slots",
        )
    needed = engine.typical_prompt_tokens + engine.typical_response_tokens
    if 0 < engine.kv_cache_tokens < needed:
        yield finding.Finding(
            f"{place}.engine.kv_cache_tokens",
            f"a typical request of {needed} tokens does not fit into "
            f"{engine.kv_cache_tokens}",
            "raise the memory, or correct the typical request",
        )


def _check_models(
    place: str, engine: enginespec.EngineSpec, runners: int | None
) -> _Findings:
    for model in engine.model_by_name.values():
        model_place = f"{place}.models.{model.name}"
        if model.size < 1:
            yield finding.Finding(
                f"{model_place}.size",
                f"no replica has {model.size} runners",
                "give at least 1",
            )
        if runners is not None and model.size > runners:
            yield finding.Finding(
                f"{model_place}.size",
                f"a replica wants {model.size} runners, and there are "
                f"{runners}",
                "add runners, or remove the model",
            )
        if model.staged_load_time > model.load_time:
            yield finding.Finding(
                f"{model_place}.staged_load_time",
                f"{model.staged_load_time} ms from the host are more than "
                f"the {model.load_time} ms from the weight store",
                "exchange the two times",
            )


def check_callers(
    draft: drafts.Draft, _given: circumstances.Circumstances
) -> _Findings:
    """Find limits on callers under which no request is accepted.

    :param draft: the configuration.
    """
    for name, value in draft.limits._asdict().items():
        if value <= 0:
            yield finding.Finding(
                f"limits.{name}",
                f"with {value} no request is accepted",
                "give a value above 0",
            )
