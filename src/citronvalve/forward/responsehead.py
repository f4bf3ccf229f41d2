"""The head of an upstream's response."""

from typing import NamedTuple

from citronvalve.forward import headernames
from citronvalve.forward import headers as headers_


class Load(NamedTuple):
    """Running and waiting requests at an upstream, and its slots."""

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
        """Return whether the response is to this request.

        :param request_id: the id that was sent.
        :param names: the header names.
        """
        return headers_.value(self.headers, names.request_id) == request_id

    def may_have_run(self, names: headernames.HeaderNames) -> bool:
        """Return whether the request may have run.

        :param names: the header names.
        """
        if self.status == 421:
            return False
        return not headers_.value(self.headers, names.not_run)

    def is_framed(self) -> bool:
        """Return whether the end of the body is marked by its framing."""
        names = {name for name, _ in self.headers}
        return bool(names & {b"content-length", b"transfer-encoding"})

    def is_success(self) -> bool:
        """Return whether the status is a success."""
        return 200 <= self.status < 300

    def is_authentic(self, names: headernames.HeaderNames) -> bool:
        """Return whether the body is sealed by the upstream and unencoded.

        :param names: the header names.
        """
        seal = headers_.value(self.headers, names.seal)
        encoding = headers_.value(self.headers, b"content-encoding")
        return bool(seal) and encoding in (b"", b"identity")

    def load(self, names: headernames.HeaderNames) -> Load | None:
        """Return the load that the upstream reports, or None.

        :param names: the header names.
        """
        parts = headers_.value(self.headers, names.load).split(b",")
        numbers = [headers_.parse_number(part) for part in parts]
        if len(numbers) != 3 or None in numbers:
            return None
        return Load(*numbers)

    def keep_alive_seconds(self) -> int:
        """Return the keep-alive timeout in seconds, or 0 if there is none."""
        text = headers_.value(self.headers, b"keep-alive")
        for part in text.split(b","):
            name, _, content = part.strip().partition(b"=")
            if name.lower() == b"timeout":
                return headers_.parse_number(content) or 0
        return 0
