"""The head of an upstream's answer, and what it says."""

from typing import NamedTuple

from citronvalve.forward import headernames
from citronvalve.forward import headers as headers_


class Load(NamedTuple):
    """Requests that run and wait at an upstream, and its places."""

    running: int
    waiting: int
    slots: int


class ResponseHead(NamedTuple):
    """Status and headers, without the body."""

    status: int
    headers: list[headers_.Header]

    def is_for(
        self, request_id: bytes, names: headernames.HeaderNames
    ) -> bool:
        """Tell whether the answer is to this request.

        :param request: the id that was sent.
        :param dialect: names of headers.
        """
        return headers_.value(self.headers, names.request_id) == request_id

    def may_have_run(self, names: headernames.HeaderNames) -> bool:
        """Tell whether the request may have run.

        :param dialect: names of headers.
        """
        if self.status == 421:
            return False
        return not headers_.value(self.headers, names.not_run)

    def is_framed(self) -> bool:
        """Tell whether its end can be told from a connection that broke."""
        names = {name for name, _ in self.headers}
        return bool(names & {b"content-length", b"transfer-encoding"})

    def is_success(self) -> bool:
        """Tell whether it has a success status."""
        return 200 <= self.status < 300

    def is_authentic(self, names: headernames.HeaderNames) -> bool:
        """Tell whether a success is the upstream's own, as it made it.

        :param dialect: names of headers.
        """
        seal = headers_.value(self.headers, names.seal)
        encoding = headers_.value(self.headers, b"content-encoding")
        return bool(seal) and encoding in (b"", b"identity")

    def load(self, names: headernames.HeaderNames) -> Load | None:
        """Return the load that the upstream told, or None.

        :param dialect: names of headers.
        """
        parts = headers_.value(self.headers, names.load).split(b",")
        numbers = [headers_.parse_number(part) for part in parts]
        if len(numbers) != 3 or None in numbers:
            return None
        return Load(*numbers)

    def keep_alive_seconds(self) -> int:
        """Return for how many seconds the connection is kept, or 0."""
        text = headers_.value(self.headers, b"keep-alive")
        for part in text.split(b","):
            name, _, content = part.strip().partition(b"=")
            if name.lower() == b"timeout":
                return headers_.parse_number(content) or 0
        return 0
