"""Names of the headers that the system reads and sets."""

from typing import NamedTuple


class HeaderNames(NamedTuple):
    """Header names in lower case, and what each one holds.

    ``request`` the id of one try of a caller, echoed by upstreams;
    ``deadline`` the ms that are left; ``key`` the caller's secret;
    ``team`` its owner; ``expect`` the upstream that alone may run it;
    ``seal`` an upstream's signature of its answer; ``not_run`` an
    upstream's word that it did not run it; ``at_fault`` the upstream that a
    refusal is due to; ``load`` running, waiting and places; ``rank`` 0 to 9,
    the most urgent first; ``model``, ``sizes`` (prompt tokens, most output
    tokens) and ``length_hint`` describe the work; ``resume_after`` is the
    last event id that the caller has; ``expect_version`` the weights.
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
    rank: bytes = b"x-rank"
    model: bytes = b"x-model"
    token_counts: bytes = b"x-tokens"
    length_hint: bytes = b"x-length-hint"
    resume_after: bytes = b"last-event-id"
    expected_version: bytes = b"x-expect-version"

    @property
    def system_only(self) -> frozenset[bytes]:
        """Return the names that only the system may set on a request.

        A caller that sent one of them itself could pass for another team,
        jump the queue or choose its upstream.
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
