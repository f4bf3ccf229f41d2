"""A caller: sends requests and tells what came back."""

from typing import Any
from typing import NamedTuple

import msgspec
import urllib3

from standins import streamed


class Seen(NamedTuple):
    """What a caller saw.

    ``clean`` tells whether the HTTP body ended as it should; ``whole``
    needs the end mark of a stream besides.
    """

    status: int
    text: str
    whole: bool
    headers: dict[str, str]
    problem: dict[str, Any]
    clean: bool = True


class Client:
    """One caller of one team.

    :param address: host:port of a daemon.
    :param token: the team's bearer token.
    :param timeout: seconds without a byte.
    """

    def __init__(self, address: str, token: str, timeout: float = 10) -> None:
        self._base = f"http://{address}"
        self._token = token
        self._http = urllib3.PoolManager(
            retries=False, timeout=timeout, maxsize=64
        )

    def chat(
        self,
        model: str,
        prompt: str,
        *,
        tokens: int = 16,
        stream: bool = True,
        deadline: int = 10_000,
    ) -> Seen:
        """Ask for an answer.

        :param model: name of the model.
        :param prompt: what to ask.
        :param tokens: most tokens of the answer.
        :param stream: whether it is streamed.
        :param deadline: ms.
        """
        body = {
            "model": model,
            "messages": [{"role": "user", "content": prompt}],
            "max_tokens": tokens,
            "stream": stream,
        }
        answer = self.open(
            "POST",
            "/v1/chat/completions",
            msgspec.json.encode(body),
            {"X-Deadline-Ms": str(deadline)},
        )
        if answer.status != 200:
            return _refused(answer)
        return _streamed(answer) if stream else _whole(answer)

    def call(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        key: str = "",
        headers: dict[str, str] | None = None,
    ) -> Seen:
        """Call a plain service.

        :param method: HTTP method.
        :param path: below ``/v1/services/``.
        :param body: the content.
        :param key: idempotency key; empty for none.
        :param headers: further ones.
        """
        sent = {**(headers or {})}
        if key:
            sent["Idempotency-Key"] = key
        answer = self.open(method, f"/v1/services/{path}", body, sent)
        if answer.headers.get("Content-Type") == "application/problem+json":
            return _refused(answer)
        text = answer.data.decode()
        return Seen(answer.status, text, True, dict(answer.headers), {})

    def open(
        self, method: str, path: str, body: bytes, headers: dict[str, str]
    ) -> urllib3.BaseHTTPResponse:
        """Send a request and return its response, body unread.

        :param method: HTTP method.
        :param path: path and query.
        :param body: the content.
        :param headers: besides the token.
        """
        sent = {"Authorization": f"Bearer {self._token}", **headers}
        return self._http.request(
            method,
            self._base + path,
            body=body,
            headers=sent,
            preload_content=False,
        )


def _refused(answer: urllib3.BaseHTTPResponse) -> Seen:
    problem = msgspec.json.decode(answer.data)
    return Seen(answer.status, "", False, dict(answer.headers), problem)


def _whole(answer: urllib3.BaseHTTPResponse) -> Seen:
    read = msgspec.json.decode(answer.data)
    text = read["choices"][0]["message"]["content"]
    return Seen(answer.status, text, True, dict(answer.headers), {})


def _streamed(answer: urllib3.BaseHTTPResponse) -> Seen:
    raw, broken = b"", ""
    try:
        for block in answer.stream():
            raw += block
    except urllib3.exceptions.HTTPError as error:
        broken = str(error)
    got = streamed.read(raw)
    return Seen(
        answer.status,
        got.text,
        got.done and not broken,
        dict(answer.headers),
        got.problem or ({"broken": broken} if broken else {}),
        not broken,
    )
