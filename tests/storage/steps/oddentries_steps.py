"""Steps about odd entries in answers of the platform's own services."""

import behave
import msgspec

from citronvalve.storage import client
from citronvalve.storage import httptable
from citronvalve.storage import httpvms
from citronvalve.storage import rowvalue
from citronvalve.storage import shallow

_DEEP = b"[" * 20_000 + b"]" * 20_000


def _vm(**odd):
    fields = {
        "vm": "vm-odd",
        "datacentre": "sapporo",
        "domain": "d",
        "address": "h:80",
        "accelerators": 8,
        "state": "live",
    }
    return msgspec.json.encode(list((fields | odd).values()))


_VM_BY_WHAT = {
    "a domain nested 20000 deep": (
        b'["vm-odd","sapporo",' + _DEEP + b',"h:80",8,"live"]'
    ),
    "the port 99999": _vm(address="h:99999"),
    "a port of 5000 digits": _vm(address="h:" + "9" * 5_000),
    "an address with a NUL byte": _vm(address="h\0:80"),
    "accelerators of 10 to the 30th": _vm(accelerators=1).replace(
        b",1,", b"," + b"1" + b"0" * 30 + b","
    ),
    "accelerators below zero": _vm(accelerators=-1),
    "an unknown state": _vm(state="dancing"),
    "a number as name": _vm(vm=7),
    "no fields": b"{}",
}

_VALUE_BY_WHAT = {
    "a number beyond 64 bit": b'{"a":1' + b"0" * 30 + b"}",
    "a number below 64 bit": b'{"a":-1' + b"0" * 30 + b"}",
    "a list": b"[1]",
    "a text": b'"a"',
    "nothing": b"null",
    "a value nested 400 deep": b'{"a":' + b"[" * 400 + b"]" * 400 + b"}",
    "a value nested 20000 deep": b'{"a":' + _DEEP + b"}",
}


class _Platform:
    """Answers each call with one body."""

    def __init__(self, body):
        self._response = client.Response(200, body)

    def read(self, path):
        return self._response


@behave.given("a list of 3 VMs, of which one has {what}")
def step_vms(context, what):
    odd = _VM_BY_WHAT[what]
    body = b"[" + b",".join((_vm(vm="vm-1"), odd, _vm(vm="vm-2"))) + b"]"
    context.vms = httpvms.HttpVms(_Platform(body))
    context.reported = []
    context.vms.on_left_out = lambda key, why: context.reported.append(
        (key, why)
    )


@behave.when("the list is read twice")
def step_read(context):
    context.read = [context.vms.vms("sapporo") for _ in range(2)]


@behave.then("it holds the other two")
def step_others(context):
    for found in context.read:
        assert [vm.vm for vm in found] == ["vm-1", "vm-2"], found


@behave.then("the odd one is reported once, as {key}")
def step_reported(context, key):
    assert [one for one, _ in context.reported] == [key], context.reported
    assert all(why for _, why in context.reported)


@behave.given("a table of 3 rows, of which one holds {what}")
def step_rows(context, what):
    row = b'["t","%b",%b,%d]'
    rows = [
        row % (b"k-1", b'{"a":1}', 1),
        row % (b"k-odd", _VALUE_BY_WHAT[what], 2),
        row % (b"k-2", b'{"a":2}', 3),
    ]
    body = b"[7,[" + b",".join(rows) + b"],[]]"
    context.service = httptable.HttpTable(_Platform(body))


@behave.when("the table is scanned")
def step_scan(context):
    context.scan = context.service.scan("t")


@behave.then("it has 3 rows, of which the odd one says why it can't be used")
def step_unreadable(context):
    first, odd, last = context.scan.rows
    assert first.value == {"a": 1} and last.value == {"a": 2}
    assert list(odd.value) == [rowvalue.UNREADABLE], odd
    msgspec.msgpack.encode(context.scan)


@behave.then("it has 3 rows, of which two are as written")
def step_as_written(context):
    first, _, last = context.scan.rows
    assert first.value == {"a": 1} and last.value == {"a": 2}
    msgspec.msgpack.encode(context.scan)


def _text(what):
    """Return JSON as it stands in a table, or as it is described."""
    if not what.startswith("a list of "):
        return what.encode()
    levels = int(what.split()[3])
    inner = b"null" if what.endswith("null") else b""
    return b"[" * levels + inner + b"]" * levels


@behave.when("values that are nested more than 100 deep are cut from {body}")
def step_cut(context, body):
    context.cut = shallow.cut(_text(body))


@behave.then("{cut} is left")
def step_left(context, cut):
    assert context.cut == _text(cut), context.cut
