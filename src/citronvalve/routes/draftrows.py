"""The entries of a draft as rows of columns, to compare two drafts."""

import hashlib
from typing import Any

from citronvalve.routes import draft as drafts
from citronvalve.routes import route as routes_
from citronvalve.routes import service as services_

Rows = dict[str, dict[str, Any]]

#: Hex digits that tell API keys apart without printing them.
_DIGEST_LENGTH = 8


def to_rows(draft: drafts.Draft) -> Rows:
    """Return the columns of each entry by section and name.

    API keys are replaced by digests.

    :param draft: the configuration.
    """
    rows: Rows = {"limits": draft.limits._asdict()}
    rows["teams"] = {"needs_key": draft.teams is not None}
    for route in draft.routes:
        rows[f"routes/{route.name}"] = _route_row(route)
    for service in draft.services:
        rows[f"services/{service.name}"] = _service_row(service)
    for team in draft.teams or ():
        digests = sorted(map(_digest, team.keys))
        rows[f"teams/{team.name}"] = team._asdict() | {"keys": digests}
    return rows


def _route_row(route: routes_.Route) -> dict[str, Any]:
    shares = [f"{share.service}={share.weight:g}" for share in route.shares]
    return route._asdict() | {"kind": route.kind.value, "shares": shares}


def _service_row(service: services_.Service) -> dict[str, Any]:
    row = service._asdict()
    engine = row.pop("engine")
    if engine is None:
        return row
    columns = engine._asdict()
    models = columns.pop("model_by_name")
    row |= {f"engine.{name}": value for name, value in columns.items()}
    for model in models.values():
        row |= {
            f"models.{model.name}.{name}": value
            for name, value in model._asdict().items()
            if name != "name"
        }
    return row


def _digest(key: str) -> str:
    return hashlib.sha256(key.encode()).hexdigest()[:_DIGEST_LENGTH]
