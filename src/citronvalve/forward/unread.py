"""Refusals of requests whose bodies are not read to their end."""

from collections.abc import Callable

import h11

from citronvalve.forward import admission
from citronvalve.forward import environment as environments
from citronvalve.forward import headers
from citronvalve.forward import problem
from citronvalve.forward import requestbody
from citronvalve.model import ran
from citronvalve.model import refusal

_REFUSE_BY_ERROR: dict[type, Callable[[str], refusal.Refusal]] = {
    requestbody.NoMemoryError: lambda _: admission.memory_refusal(),
    requestbody.TooLateError: admission.late_refusal,
    requestbody.TooLargeError: admission.size_refusal,
}


def refuse(
    env: environments.Environment,
    head: h11.Request,
    error: requestbody.BodyNotReadError,
) -> problem.Rendered:
    """Log and count a refusal; return the response, which ends the connection.

    :param env: the daemon's environment.
    :param head: of the request.
    :param error: why its body is not read.
    """
    fields = list(head.headers)
    names = env.header_names
    request_id = headers.value(fields, names.request_id).decode("latin-1")
    refused = _REFUSE_BY_ERROR[type(error)](error.reason)
    if headers.value(fields, names.idempotency_key):
        # An earlier attempt may have run.
        refused = refused._replace(ran=ran.Ran.UNKNOWN)
    env.metrics.record_request("unknown", "refused", refused.kind)
    env.metrics.record_body_ended(refused.kind)
    env.log.note(
        "turned away", request_id, kind=refused.kind, why=refused.detail
    )
    rendered = problem.render(refused, request_id)
    closing = [*rendered.headers, (b"connection", b"close")]
    return rendered._replace(headers=closing)
