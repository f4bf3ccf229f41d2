"""Names of the headers that the daemon reads and sets."""

from typing import NamedTuple


class HeaderNames(NamedTuple):
    """Header names in lower case.

    ``request_id`` identifies one attempt of a caller and is echoed by
    upstreams; ``deadline`` is the remaining time in ms; ``api_key`` the
    caller's secret; ``team`` its owner; ``expected_upstream`` the only
    upstream that may run the request; ``seal`` an upstream's signature of
    its response; ``not_run`` states that the upstream did not run the
    request; ``at_fault`` is the upstream that caused a rejection; ``load``
    running and waiting requests and slots; ``limit`` the requests per second
    that the upstream takes from all daemons together; ``leaving`` is 1 if
    it leaves; ``rank`` 0 to 9, most
    urgent first; ``model``, ``token_counts`` (prompt tokens, most output
    tokens) and ``length_hint`` describe the work; ``prompt_parts`` lists the
    parts of the prompt in order as comma-separated ID:TOKENS;
    ``resume_after`` is the last event id that the caller has;
    ``expected_version`` that of the weights; ``idempotency_key`` is the same
    for all attempts at what may run once.
    """

    request_id: bytes = b"x-request-id"
    deadline: bytes = b"x-deadline-ms"
    api_key: bytes = b"authorization"
    team: bytes = b"x-team"
    expected_upstream: bytes = b"x-expect-upstream"
    seal: bytes = b"x-seal"
    not_run: bytes = b"x-not-run"
    at_fault: bytes = b"x-at-fault"
    load: bytes = b"x-load"
    limit: bytes = b"x-limit"
    leaving: bytes = b"x-leaving"
    rank: bytes = b"x-rank"
    model: bytes = b"x-model"
    token_counts: bytes = b"x-tokens"
    length_hint: bytes = b"x-length-hint"
    prompt_parts: bytes = b"x-prompt-parts"
    resume_after: bytes = b"last-event-id"
    expected_version: bytes = b"x-expect-version"
    idempotency_key: bytes = b"idempotency-key"

    @property
    def system_only(self) -> frozenset[bytes]:
        """Return the names that only the daemon may set on a request.

        A caller that set one of them could impersonate another team, jump
        the queue or choose its upstream.
        """
        return frozenset(
            {
                self.deadline,
                self.api_key,
                self.team,
                self.expected_upstream,
                self.rank,
                self.resume_after,
                self.expected_version,
            }
        )
