"""The request that makes an engine generate an answer."""

from typing import TypedDict


class Message(TypedDict):
    """One message of a conversation."""

    role: str
    content: str


class GenerateOrder(TypedDict):
    """The body of ``POST /generate``.

    ``offset`` is where the answer resumes, in characters; ``fence`` is the
    fencing token of the group that the request was placed on.
    """

    request: str
    model: str
    messages: list[Message]
    max_tokens: int
    priority: int
    offset: int
    fence: int
