"""Steps about encoding and decoding messages."""

import random
import zlib

import behave
import msgspec

from citronvalve.model import missing
from citronvalve.peers import messagecodec
from citronvalve.peers import messages
from citronvalve.storage import rows
from citronvalve.storage import tablestate


def _configuration(count):
    rng = random.Random(3)
    routes = [
        {
            "Name": f"r-{rng.getrandbits(32):x}",
            "Host": f"h{rng.getrandbits(16):x}.example",
            "Prefix": f"/p{rng.getrandbits(32):x}/",
            "Kind": "streaming",
            "TimeoutMs": 8_000,
            "MaxAttempts": 2,
        }
        for _ in range(count)
    ]
    return rows.Row("op", "config", {"Routes": routes}, 7)


@behave.given("a change of a configuration with {count:d} routes")
def step_change(context, count):
    row = _configuration(count)
    context.message = messages.TableChanges(1, "op", 6, 7, (row,), ())
    context.codec = messagecodec.MessageCodec()
    context.data = context.codec.encode(context.message)


@behave.then("it takes {most:d} bytes at most and is decoded unchanged")
def step_size(context, most):
    assert len(context.data) <= most, len(context.data)
    assert context.codec.decode(context.data) == context.message


_INVALID_BY_NAME = {
    "nothing": b"",
    "another codec's": b"\2abc",
    "cut": None,
    "no msgpack": b"\0\xc1",
    "a bomb": b"\1" + zlib.compress(bytes(50_000_000), 9),
}


@behave.when("bytes arrive that are {what}")
def step_invalid(context, what):
    codec = messagecodec.MessageCodec()
    valid = codec.encode(
        messages.TableChanges(1, "op", 6, 7, (_configuration(40),), ())
    )
    data = (
        _INVALID_BY_NAME[what]
        if _INVALID_BY_NAME[what] is not None
        else valid[:-5]
    )
    context.decoded = codec.decode(data)


@behave.then("decoding returns a reason and no message")
def step_reason(context):
    assert isinstance(context.decoded, missing.Missing), context.decoded
    assert context.decoded.reason


#: Messages as arrays: the tag, then the fields in their order.
_LAST_RELEASE_BY_NAME = {
    "a beat": ["beat", "d-1", 9, 3, [["op", 5, 6, 70]]],
    "a reading": ["changes", 9, "op", 5, 6, [], ["gone"]],
}


@behave.when("{message} of the last release arrives")
def step_old(context, message):
    data = msgspec.msgpack.encode(_LAST_RELEASE_BY_NAME[message])
    context.decoded = messagecodec.MessageCodec().decode(b"\0" + data)


@behave.then("it is decoded, with defaults for the new fields")
def step_old_decoded(context):
    state = tablestate.TableState("op", 5, 6, 70)
    assert context.decoded in (
        messages.Heartbeat("d-1", 9, 3, (state,)),
        messages.TableChanges(9, "op", 5, 6, (), ("gone",)),
    ), context.decoded
