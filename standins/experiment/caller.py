"""Sends one request of an experiment and times what comes back."""

import time

import msgspec
import urllib3

from standins import answer
from standins import deployment as deployments
from standins.experiment import sample
from standins import streamed

_MS = 1_000
_NOTHING = -1.0


class Caller:
    """Callers of all teams at all daemons, as behind a balancer.

    :param addresses: host:port of the daemons' callers' ports.
    :param tokens: tokens of each answer.
    :param deadline: ms.
    :param began: monotonic seconds when the load began.
    """

    def __init__(
        self,
        addresses: list[str],
        tokens: int,
        deadline: int,
        began: float,
    ) -> None:
        self._addresses = addresses
        self._tokens = tokens
        self._deadline = deadline
        self._began = began
        self._http = urllib3.PoolManager(
            retries=False, timeout=deadline / _MS + 5, maxsize=256
        )

    def ask(self, number: int, team: str) -> sample.Sample:
        """Send a request and read its answer.

        :param number: makes the question its own, and picks the daemon.
        :param team: whose token is sent.
        """
        begin = time.monotonic()
        timing = _Timing(begin, self._began)
        try:
            response = self._send(number, team)
        except urllib3.exceptions.HTTPError:
            return timing.lost(team, "unreached")
        if response.status != 200:
            return timing.refused(team, response)
        expected = answer.whole(
            deployments.MODEL, _question(number), self._tokens
        )
        return timing.read(team, response, expected)

    def _send(self, number: int, team: str) -> urllib3.BaseHTTPResponse:
        address = self._addresses[number % len(self._addresses)]
        question = {"role": "user", "content": _question(number)}
        body = {
            "model": deployments.MODEL,
            "messages": [question],
            "max_tokens": self._tokens,
            "stream": True,
        }
        headers = {
            "Authorization": f"Bearer {deployments.token(team)}",
            "X-Deadline-Ms": str(self._deadline),
        }
        return self._http.request(
            "POST",
            f"http://{address}/v1/chat/completions",
            body=msgspec.json.encode(body),
            headers=headers,
            preload_content=False,
        )


class _Timing:
    """Times one answer."""

    def __init__(self, begin: float, began: float) -> None:
        self._begin = begin
        self._at = (begin - began) * _MS
        self._first = _NOTHING
        self._gap = 0.0
        self._last = begin

    def lost(self, team: str, kind: str) -> sample.Sample:
        """Return the sample of a request without any answer."""
        took = (time.monotonic() - self._begin) * _MS
        return sample.Sample(
            self._at, team, 0, False, False, self._first, 0, took, kind
        )

    def refused(
        self, team: str, response: urllib3.BaseHTTPResponse
    ) -> sample.Sample:
        """Return the sample of a refusal."""
        problem = msgspec.json.decode(response.data)
        return self.lost(team, _kind(problem))._replace(
            status=response.status,
            ran=problem.get("ran", ""),
            retry_after=problem.get("retry_after_ms", 0),
        )

    def read(
        self, team: str, response: urllib3.BaseHTTPResponse, expected: str
    ) -> sample.Sample:
        """Read a stream and return its sample."""
        raw = b""
        try:
            for block in response.stream():
                self._token()
                raw += block
        except urllib3.exceptions.HTTPError:
            # What came until it broke off is looked at all the same.
            pass
        got = streamed.read(raw)
        kind = _kind(got.problem) or ("" if got.done else "broken")
        return sample.Sample(
            self._at,
            team,
            response.status,
            got.done,
            got.done and got.text == expected,
            self._first,
            self._gap,
            (time.monotonic() - self._begin) * _MS,
            kind,
            got.problem.get("ran", ""),
        )

    def _token(self) -> None:
        now = time.monotonic()
        if self._first == _NOTHING:
            self._first = (now - self._begin) * _MS
        else:
            self._gap = max(self._gap, (now - self._last) * _MS)
        self._last = now


def _kind(problem: dict) -> str:
    return problem.get("type", "").rpartition(":")[2]


def _question(number: int) -> str:
    return f"question {number}"
