"""Encodes answers to chat requests."""

import msgspec

DONE = b"data: [DONE]\n\n"
HEARTBEAT = b": heartbeat\n\n"

_encode = msgspec.json.encode


class ChunkEncoder:
    """Encodes the chunks of one streamed answer.

    Everything but the text is encoded once, because a daemon can spend only
    some tens of microseconds on a token.

    :param request: the request's id.
    :param model: the model's name.
    :param created: seconds since the epoch.
    """

    __slots__ = ("_head", "_tail")

    def __init__(self, request: str, model: str, created: int) -> None:
        envelope = _encode(
            {
                "id": request,
                "object": "chat.completion.chunk",
                "created": created,
                "model": model,
            }
        )
        choice = b',"choices":[{"index":0,"delta":{"content":'
        self._head = b"data: " + envelope[:-1] + choice
        self._tail = b'},"finish_reason":null}]}\n\n'

    def text(self, piece: str) -> bytes:
        """Return the chunk for a piece of text.

        :param piece: the text.
        """
        return self._head + _encode(piece) + self._tail

    def end(self, finish: str) -> bytes:
        """Return the last chunk and the end-of-stream marker.

        :param finish: the engine's finish reason.
        """
        reason = b'},"finish_reason":' + _encode(finish) + b"}]}\n\n"
        return self._head + b'""' + reason + DONE


def whole(
    request: str, model: str, created: int, content: str, finish: str
) -> bytes:
    """Return the body of an answer that is not streamed.

    :param request: the request's id.
    :param model: the model's name.
    :param created: seconds since the epoch.
    :param content: the whole text.
    :param finish: the engine's finish reason.
    """
    message = {"role": "assistant", "content": content}
    return _encode(
        {
            "id": request,
            "object": "chat.completion",
            "created": created,
            "model": model,
            "choices": [
                {"index": 0, "message": message, "finish_reason": finish}
            ],
        }
    )


def error(problem: bytes) -> bytes:
    """Return the event that reports an incomplete answer.

    :param problem: the refusal's body.
    """
    return b"event: error\ndata: " + problem + b"\n\n"
