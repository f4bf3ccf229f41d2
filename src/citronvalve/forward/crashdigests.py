"""Digests of contents of requests, of models and of starts of upstreams."""

import xxhash

from citronvalve.forward import callerrequest


def part(service: str, part_id: bytes) -> int:
    """Return the digest of a part; those of two services are different ones.

    :param service: the service's name.
    :param part_id: the part's id.
    """
    name = service.encode()
    return xxhash.xxh3_64_intdigest(b"%d:%b%b" % (len(name), name, part_id))


def model(name: str) -> int:
    """Return the digest of a model's name.

    :param model: the name.
    """
    return xxhash.xxh3_64_intdigest(name.encode())


def start(upstream: str, start_id: int) -> int:
    """Return the digest of a start of an upstream.

    :param upstream: its id.
    :param start_id: of the start.
    """
    return xxhash.xxh3_64_intdigest(f"{upstream}/{start_id}".encode())


def late(whole_digest: int) -> int:
    """Return the digest for losses after a request's beginning was survived.

    :param whole_digest: of the whole request.
    """
    return xxhash.xxh3_64_intdigest(b"late:%d" % whole_digest)


def whole(request: callerrequest.CallerRequest, team: str) -> int:
    """Return a digest that is the same for each retry by a caller.

    A team's keys are replaced while it goes on sending the request.

    :param request: the caller's.
    :param team: name of the caller's team, empty on public routes.
    """
    digest = xxhash.xxh3_64()
    for field in (
        request.method,
        request.target,
        team.encode(),
        request.body,
    ):
        digest.update(b"%d:" % len(field))
        digest.update(field)
    return digest.intdigest()


def shown(digest: int) -> str:
    """Return a digest as it is logged.

    :param digest: of any kind.
    """
    return f"{digest:016x}"
