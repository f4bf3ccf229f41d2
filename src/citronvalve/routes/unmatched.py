"""Checks for entries that no request can match."""

import collections
from collections.abc import Iterator

from citronvalve.model import finding
from citronvalve.routes import circumstances
from citronvalve.routes import draft as drafts
from citronvalve.routes import route as routes_
from citronvalve.routes import share as share_

_Findings = Iterator[finding.Finding]


def check_names(
    draft: drafts.Draft, _given: circumstances.Circumstances
) -> _Findings:
    """Find entries that have the name of another one.

    :param draft: the configuration.
    """
    names_by_section = {
        "routes": [route.name for route in draft.routes],
        "services": [service.name for service in draft.services],
        "teams": [team.name for team in draft.teams or ()],
    }
    for section, names in names_by_section.items():
        for name, count in collections.Counter(names).items():
            if count > 1:
                yield finding.Finding(
                    f"{section}/{name}",
                    f"{count} entries have this name",
                    "give each its own name, or remove all but one",
                )


def check_prefixes(
    draft: drafts.Draft, _given: circumstances.Circumstances
) -> _Findings:
    """Find routes that the lookup by host and prefix never returns.

    :param draft: the configuration.
    """
    last_by_prefix = {(r.host, r.prefix): r for r in draft.routes}
    for route in draft.routes:
        yield from _check_pattern(route)
        last = last_by_prefix[route.host, route.prefix]
        if last is not route:
            yield finding.Finding(
                f"routes/{route.name}.prefix",
                f"routes/{last.name} shadows it: it has the same host and "
                "prefix and stands later",
                "give one of them another prefix, or remove it",
            )


def _check_pattern(route: routes_.Route) -> _Findings:
    place = f"routes/{route.name}"
    if not route.prefix.startswith("/") or not route.prefix.endswith("/"):
        yield finding.Finding(
            f"{place}.prefix",
            f"{route.prefix!r} matches no path: only whole segments match",
            "begin and end it with a slash",
        )
    elif "?" in route.prefix or "#" in route.prefix:
        yield finding.Finding(
            f"{place}.prefix",
            f"{route.prefix!r} matches no path: paths come without a query",
            "leave out the query",
        )
    if not route.host or ":" in route.host or "/" in route.host:
        yield finding.Finding(
            f"{place}.host",
            f"{route.host!r} matches no request: hosts come without a port",
            "write the host's name alone",
        )


def check_shares(
    draft: drafts.Draft, _given: circumstances.Circumstances
) -> _Findings:
    """Find shares of a split that get no request.

    :param draft: the configuration.
    """
    known = {service.name for service in draft.services}
    for route in draft.routes:
        place = f"routes/{route.name}.shares"
        for share in route.shares:
            if share.service not in known:
                yield finding.Finding(
                    place,
                    f"there is no service {share.service!r}",
                    "add the service, or name one that is there",
                )
        yield from _check_weights(place, route.shares)
        if len({share.service for share in route.shares}) < len(route.shares):
            yield finding.Finding(
                place,
                "two shares name the same service",
                "merge them into one",
            )


def _check_weights(place: str, shares: tuple[share_.Share, ...]) -> _Findings:
    # A route with one service doesn't draw, and one without any weight uses
    # its first service.
    if len(shares) == 1:
        return
    drawn = any(share.weight > 0 for share in shares)
    unused = [s for s in shares if not s.weight > 0] if drawn else shares[1:]
    for share in unused:
        yield finding.Finding(
            place,
            f"{share.service} has the weight {share.weight:g} and gets no "
            "requests",
            "give a weight above 0, or remove the share",
        )


def check_services(
    draft: drafts.Draft, _given: circumstances.Circumstances
) -> _Findings:
    """Find services and models that get no requests.

    :param draft: the configuration.
    """
    named = {share.service for r in draft.routes for share in r.shares}
    for service in draft.services:
        place = f"services/{service.name}"
        if service.name not in named:
            yield finding.Finding(
                place,
                "no route names it",
                "add a route for it, or remove the service",
            )
        models = service.engine.model_by_name if service.engine else {}
        for model in models.values():
            if not model.initial_share > 0:
                yield finding.Finding(
                    f"{place}.models.{model.name}.initial_share",
                    f"a share of {model.initial_share:g} of the work",
                    "give a share above 0, or remove the model",
                )


def check_teams(
    draft: drafts.Draft, _given: circumstances.Circumstances
) -> _Findings:
    """Find teams and keys that authenticate nobody, or more than one.

    :param draft: the configuration.
    """
    teams_by_key = collections.defaultdict(list)
    for team in draft.teams or ():
        place = f"teams/{team.name}.keys"
        if not team.keys:
            yield finding.Finding(
                place,
                "the team has no keys, so no caller belongs to it",
                "add a key, or remove the team",
            )
        if "" in team.keys:
            yield finding.Finding(place, "an empty key", "remove it")
        for key in team.keys:
            teams_by_key[key].append(team.name)
    for names in teams_by_key.values():
        if len(names) > 1:
            yield _shared_key(names)


def _shared_key(names: list[str]) -> finding.Finding:
    # The key itself is a secret and is not printed.
    place = f"teams/{names[0]}.keys"
    others = sorted(set(names) - {names[0]})
    if not others:
        return finding.Finding(place, "a key is listed twice", "remove one")
    return finding.Finding(
        place,
        f"{' and '.join(others)} has a key of this team; callers with it "
        f"count for {names[-1]}",
        "give each team its own keys",
    )


def check_access(
    draft: drafts.Draft, _given: circumstances.Circumstances
) -> _Findings:
    """Find routes that need a key while there is none.

    :param draft: the configuration.
    """
    if draft.teams is None or any(team.keys for team in draft.teams):
        return
    for route in draft.routes:
        if not route.public:
            yield finding.Finding(
                f"routes/{route.name}.public",
                "the route needs a key, and no team has one",
                "add a key, or make the route public",
            )
