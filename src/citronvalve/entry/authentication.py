"""Authentication of callers by bearer token."""

import hashlib

from citronvalve.entry import call as calls
from citronvalve.entry import view as views
from citronvalve.model import declared
from citronvalve.model import refusal

_SCHEME = "bearer "


def authenticate(
    call: calls.Call, view: views.View
) -> declared.Team | refusal.Refusal:
    """Return the team that the request's bearer token belongs to.

    :param call: the request, with its ``Authorization`` header.
    :param view: holds the table in force.
    """
    header = call.header("Authorization")
    if header[: len(_SCHEME)].lower() != _SCHEME:
        return _unknown_token("the Authorization header has no bearer token")
    token = header[len(_SCHEME) :].strip()
    # Looked up by digest, so that timing reveals nothing about tokens.
    found = view.team(hashlib.sha256(token.encode()).hexdigest())
    return found or _unknown_token("no team has this token")


def _unknown_token(detail: str) -> refusal.Refusal:
    return refusal.Refusal(
        refusal.RefusalKind.UNKNOWN_TOKEN,
        detail,
        "send 'Authorization: Bearer' with the token of a declared team",
    )
