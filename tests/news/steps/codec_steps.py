"""Steps about news as bytes."""

import random
import zlib

import behave
import msgspec

from citronvalve.model import missing
from citronvalve.peers import messagecodec
from citronvalve.peers import messages
from citronvalve.storage import rows
from citronvalve.storage import tablestate


def _configuration(routes):
    chance = random.Random(3)
    made = [
        {
            "Name": f"r-{chance.getrandbits(32):x}",
            "Host": f"h{chance.getrandbits(16):x}.example",
            "Prefix": f"/p{chance.getrandbits(32):x}/",
            "Kind": "streaming",
            "TimeoutMs": 8_000,
            "MaxAttempts": 2,
        }
        for _ in range(routes)
    ]
    return rows.Row("op", "config", {"Routes": made}, 7)


@behave.given("a change of a configuration with {count:d} routes")
def step_change(context, count):
    row = _configuration(count)
    context.message = messages.TableChanges(1, "op", 6, 7, (row,), ())
    context.codec = messagecodec.MessageCodec()
    context.data = context.codec.encode(context.message)


@behave.then("it takes {most:d} bytes at most and is read as it was")
def step_size(context, most):
    assert len(context.data) <= most, len(context.data)
    assert context.codec.decode(context.data) == context.message


_BAD = {
    "nothing": b"",
    "another codec's": b"\2abc",
    "cut": None,
    "no msgpack": b"\0\xc1",
    "a bomb": b"\1" + zlib.compress(bytes(50_000_000), 9),
}


@behave.when("bytes come that are {what}")
def step_bad(context, what):
    codec = messagecodec.MessageCodec()
    whole = codec.encode(
        messages.TableChanges(1, "op", 6, 7, (_configuration(40),), ())
    )
    data = _BAD[what] if _BAD[what] is not None else whole[:-5]
    context.read = codec.decode(data)


@behave.then("there is no message, and a reason")
def step_reason(context):
    assert isinstance(context.read, missing.Missing), context.read
    assert context.read.reason


#: As arrays: each field of a message in its order, the tag first.
_LAST_RELEASE = {
    "a beat": ["beat", "d-1", 9, 3, [["op", 5, 6, 70]]],
    "a reading": ["changes", 9, "op", 5, 6, [], ["gone"]],
}


@behave.when("{message} of the last release comes")
def step_old(context, message):
    data = msgspec.msgpack.encode(_LAST_RELEASE[message])
    context.read = messagecodec.MessageCodec().decode(b"\0" + data)


@behave.then("it is read, without what that release did not tell")
def step_old_read(context):
    told = tablestate.TableState("op", 5, 6, 70)
    assert context.read in (
        messages.Heartbeat("d-1", 9, 3, (told,)),
        messages.TableChanges(9, "op", 5, 6, (), ("gone",)),
    ), context.read
