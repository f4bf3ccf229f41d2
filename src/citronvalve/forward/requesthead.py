"""The head with which a request is sent to an upstream."""

from citronvalve.forward import environment as environments
from citronvalve.forward import headers
from citronvalve.forward import placement
from citronvalve.forward import routedrequest
from citronvalve.forward import streamprogress
from citronvalve.policy import upstreamchoice


def compose(
    env: environments.Environment,
    routed: routedrequest.RoutedRequest,
    chosen: upstreamchoice.Chosen,
    progress: streamprogress.StreamProgress,
) -> list[headers.Header]:
    """Return the headers of a request without its framing.

    :param env: the daemon's environment.
    :param routed: the request.
    :param chosen: the upstream and its forecast.
    :param progress: the part of a stream that the caller already has.
    """
    names = env.header_names
    remaining = max(1, routed.deadline - env.clock.now())
    head = headers.end_to_end(routed.request.headers, names.system_only)
    head.append((names.deadline, b"%d" % remaining))
    head.append((names.expected_upstream, chosen.upstream.encode()))
    if routed.key_holder is not None:
        head.append((names.team, routed.key_holder.name.encode()))
    if routed.service.engine is not None:
        rank = min(placement.LATE_RANK - 1, max(0, routed.priority))
        if chosen.late:
            rank = placement.LATE_RANK
        head.append((names.rank, b"%d" % rank))
    after = (
        b"%d" % progress.last_event_id
        if progress.last_event_id is not None
        else routed.request.header(names.resume_after)
    )
    if after:
        head.append((names.resume_after, after))
    return head
