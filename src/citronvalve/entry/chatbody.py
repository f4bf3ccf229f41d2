"""Decoding and validation of chat request bodies."""

from typing import Annotated
from typing import NotRequired
from typing import TypedDict

import msgspec
import xxhash

from citronvalve.entry import call as calls
from citronvalve.model import decoding
from citronvalve.model import refusal
from citronvalve.upstreams import order

#: Approximate; only engines count tokens.  It is accurate enough for the
#: prediction of service times.
CHARACTERS_PER_TOKEN = 4

#: In characters.  A digest is made at each multiple of it; engines cache
#: prefixes in blocks of about this size.
_PREFIX_BLOCK_SIZE = 1_024
_MAX_PREFIXES = 16

_Name = Annotated[str, msgspec.Meta(min_length=1, max_length=200)]


class ChatBody(TypedDict):
    """The members of a chat request that are used; others are ignored."""

    model: _Name
    messages: Annotated[
        list[order.Message], msgspec.Meta(min_length=1, max_length=1_000)
    ]
    stream: NotRequired[bool]
    max_tokens: NotRequired[Annotated[int, msgspec.Meta(ge=1)]]


_DECODER = msgspec.json.Decoder(ChatBody)


def decode(raw: bytes) -> ChatBody | refusal.Refusal:
    """Decode and validate a body.

    :param raw: the body as received.
    """
    try:
        return _DECODER.decode(raw)
    except decoding.ERRORS as error:
        return calls.malformed(f"the body is not a chat request: {error}")


def prompt_text(body: ChatBody) -> str:
    """Return the roles and contents of all messages as one text.

    :param body: a valid body.
    """
    return "\0".join(f"{m['role']}\0{m['content']}" for m in body["messages"])


def fingerprint(body: ChatBody) -> str:
    """Return a digest that is equal for requests with equal model and prompt.

    :param body: a valid body.
    """
    return xxhash.xxh3_128_hexdigest(
        f"{body['model']}\0{prompt_text(body)}".encode()
    )


def prefixes(prompt: str) -> tuple[str, ...]:
    """Return digests of increasingly long prefixes of a prompt.

    :param prompt: the whole prompt text.
    """
    count = min(len(prompt) // _PREFIX_BLOCK_SIZE, _MAX_PREFIXES)
    return tuple(
        xxhash.xxh3_64_hexdigest(
            prompt[: (n + 1) * _PREFIX_BLOCK_SIZE].encode()
        )
        for n in range(count)
    )
