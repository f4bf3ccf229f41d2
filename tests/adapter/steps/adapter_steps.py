"""Steps for the adapter of the users' platform."""

import copy
import json
import os
import pathlib
import tempfile
from unittest import mock

import behave
import eventlet

from citronvalve.model import clock
from citronvalve.model import errors
from citronvalve.model import missing
from citronvalve.routes import kind
from citronvalve.storage import client
from citronvalve.storage import rows
from citronvalve.storage import tablelistener
from citronvalve.storage import tail
from standins import rowstore
from tests import quietlog

_TIMEOUT = 700


class _KeySet(tablelistener.TableListener):
    def __init__(self):
        self.keys = set()

    def replace_all(self, found):
        self.keys = {row.key for row in found}

    def apply_changes(self, found, gone):
        self.keys = (self.keys | {row.key for row in found}) - set(gone)


@behave.given("a store of rows")
def step_store(context):
    from adapter import store

    context.store = rowstore.RowStore()
    context.service = store.Store(
        client.PlatformClient(
            context.store.address,
            _TIMEOUT,
            not_executed_statuses=store.NOT_EXECUTED_STATUSES,
        )
    )


@behave.given('the store is "{trouble}"')
def step_trouble(context, trouble):
    context.store.trouble = "" if trouble == "well" else trouble


@behave.given("{count:d} rows of a table")
def step_rows(context, count):
    for number in range(count):
        context.store.put("t", f"key-{number:05d}", {"n": number})


@behave.given(
    "after the first page one of its rows is removed and one changes"
)
def step_between(context):
    def between():
        context.store.drop("t", "key-00007")
        context.store.put("t", "key-00008", {"n": "changed"})

    context.store.after_page = between


@behave.then("they are the rows of the store at its newest revision")
def step_newest(context):
    value_by_key = {row.key: row.value for row in context.found.rows}
    assert "key-00007" not in value_by_key
    assert value_by_key["key-00008"] == {"n": "changed"}
    again = context.service.scan("t")
    assert set(value_by_key) == {row.key for row in again.rows}
    assert context.found.revision == again.revision


@behave.given("the table is followed")
def step_follow(context):
    context.held = _KeySet()
    context.clock = clock.SystemClock()
    context.tail = tail.Tail(
        context.service,
        "t",
        context.held,
        quietlog.QuietLog(),
        context.clock,
        None,
    )
    context.tail.step()
    assert len(context.held.keys) == 3


def _insert_row(context):
    context.outcome = context.service.commit(
        rows.Transaction(
            "try",
            (rows.Condition("t", "new", rows.NO_ROW),),
            (rows.Write("t", "new", {"a": 1}),),
        )
    )


@behave.when("a row is inserted on condition that it does not exist")
def step_write(context):
    _insert_row(context)


@behave.when("the same row is inserted twice on that condition")
def step_write_twice(context):
    _insert_row(context)
    _insert_row(context)
    assert context.outcome.rows[0].value == {"a": 1}


@behave.when("all rows of the table are read")
def step_read(context):
    context.found = context.service.scan("t")


@behave.when("the row is removed and written again")
def step_again(context):
    before = context.service.scan("t").revision
    context.store.drop("t", "key-00000")
    context.store.put("t", "key-00000", {"n": 7})
    context.found = context.service.follow("t", before, 0)


@behave.when("a row is removed and the history is truncated")
def step_forget(context):
    context.store.drop("t", "key-00001")
    context.store.forgotten = 10_000


@behave.given("another daemon confirms the held rows")
@behave.when("another daemon confirms the held rows")
def step_vouch(context):
    context.calls = dict(context.store.calls)
    context.tail.confirm(context.tail.state()._replace(age=600), "another")


@behave.when("an update arrives that begins after the held revision")
def step_gap(context):
    newer = context.tail.revision + 5
    context.tail.apply_update(newer, rows.Scan(newer + 1, (), ("key-00000",)))


@behave.then('the outcome is "{name}"')
def step_outcome(context, name):
    assert type(context.outcome).__name__ == name, context.outcome


@behave.then("{count:d} rows are found")
def step_found(context, count):
    assert len(context.found.rows) == count


@behave.then("the changes contain the row and no removal")
def step_kept(context):
    assert [r.value for r in context.found.rows] == [{"n": 7}]
    assert not context.found.deleted


@behave.then("the follower holds {count:d} rows after two more calls")
def step_holds(context, count):
    context.tail.step()
    context.tail.step()
    assert len(context.held.keys) == count, context.held.keys


@behave.then("the follower makes no call for {seconds:g} s")
def step_no_call(context, seconds):
    until = context.clock.now() + round(seconds * 1_000) - 60
    while context.clock.now() < until:
        context.tail.step()
        eventlet.sleep(0.02)
    assert context.store.calls == context.calls, context.store.calls


@behave.then("after that it makes a call")
def step_calls(context):
    eventlet.sleep(0.15)
    context.tail.step()
    assert context.store.calls != context.calls


@behave.then("the follower reads from the store at once")
def step_reads(context):
    assert len(context.held.keys) == 3
    context.tail.step()
    assert context.store.calls != context.calls


_ENTRY = {
    "Service": "svc",
    "Address": "10.0.0.9:8080",
    "Zone": "zone-a",
    "Version": "v1",
    "Slots": 13,
    "State": "ready",
    "ColdRemainingMs": 0,
    "Stage": "both",
    "Models": [],
    "Sequence": 4,
    "Domain": "d1",
    "Staged": ["m"],
    "born": 1700000000000,
}
_OPEN = {"Name": "m~7", "epoch": 7, "rank": 0, "State": "open"}
_ENTRY_BY_WHAT = {
    "all its fields": {},
    "unknown fields": {"Shade": "blue"},
    "a group that is open": {"group": _OPEN},
    "a state of draining": {"State": "draining"},
    "no service": {"Service": None},
    "a number as address": {"Address": 7},
    "an address without a port": {"Address": "10.0.0.9"},
    "an unknown state": {"State": "dancing"},
    "a null group": {"group": None},
    "an unknown phase": {"group": _OPEN | {"State": "humming"}},
}


@behave.when("a runner's entry has {what}")
def step_entry(context, what):
    from adapter import entries

    value = {}
    if what in _ENTRY_BY_WHAT:
        value = _ENTRY | _ENTRY_BY_WHAT[what]
    row = rows.Row("servers", "i-1", value, 12)
    context.runner = entries.EntryDecoder(clock.SystemClock()).decode(row)


@behave.then("it gives {named}")
def step_named(context, named):
    found = context.runner
    if named == "no runner":
        assert isinstance(found, missing.Missing) and found.reason
        return
    assert found.id == "i-1" and found.datacentre == "zone-a"
    assert found.is_open_head == (named == "a head")
    assert found.leaving == (named == "a leaving runner")


_CONFIGURATION = {
    "Version": 7,
    "Routes": [
        {
            "Name": "r",
            "Host": "H.example",
            "Prefix": "/a/",
            "Kind": "streaming",
            "TimeoutMs": 8000,
            "TargetLatencyMs": 400,
            "Priority": 1,
            "TrafficSplit": [
                {"Service": "s", "Weight": 90},
                {"Service": "t", "Weight": 10},
            ],
            "MaxAttempts": 2,
            "StreamResume": True,
            "TargetGapMs": 250,
        }
    ],
    "Services": [
        {
            "Name": "s",
            "HealthPath": "/health",
            "MaxConnections": 464,
            "ColdStartS": 3.0,
            "ColdPerS": 36.0,
            "Engine": {
                "Slots": 13,
                "step_ms": 6.45,
                "Models": [{"Name": "m", "size": 6, "LoadS": 16.0}],
            },
        }
    ],
    "Limits": {"MaxHeaderBytes": 100, "IdleTimeoutMs": 15000},
    "Tenants": [{"Name": "team", "ApiKeys": ["k"], "Priority": 1}],
}


def _altered_configuration(what):
    altered = copy.deepcopy(_CONFIGURATION)
    if what == "an unknown kind":
        altered["Routes"][0]["Kind"] = "sometimes"
    elif what == "no teams":
        del altered["Tenants"]
    elif what == "a text as version":
        altered["Version"] = "seven"
    elif what == "no routes":
        del altered["Routes"]
    return altered


@behave.when("the configuration has {what}")
def step_configuration(context, what):
    from adapter import configuration

    row = rows.Row("op", "config", _altered_configuration(what), 3)
    context.read = configuration.decode(row)


@behave.then("the configuration is {read}")
def step_read_as(context, read):
    catalogue = context.read
    if read == "refused":
        assert missing.is_missing(catalogue)
        return
    route = catalogue.find_route("h.example", "/a/b")
    assert route, catalogue
    check = {
        "read, with both shares": lambda: (
            len(route.shares) == 2
            and catalogue.service_by_name["s"].engine.model_by_name["m"].size
            == 6
            and catalogue.holder_by_key["k"].name == "team"
        ),
        "read, as run once at most": lambda: (
            route.kind is kind.RequestKind.AT_MOST_ONCE
        ),
        "read, and needs no key": lambda: not catalogue.needs_key,
    }
    assert check[read](), catalogue


#: What a settings file of the platform must have.
_SETTINGS_FILE = {
    "NodeName": "front-a-1",
    "Zone": "a",
    "Ip": "10.1.0.40",
    "Listen": {"Front": "10.1.0.40:8227", "Ready": "10.1.0.40:8220"},
    "InternalPorts": [7340, 7355],
    "Platform": {"Address": "10.200.1.7:8223", "form": "table"},
}


def _settings(**fields):
    from adapter import settingsfile

    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "local.json"
        path.write_text(json.dumps(_SETTINGS_FILE | fields))
        file = settingsfile.read(str(path))
    return settingsfile.translate(file)


@behave.when("a settings file of the platform is read")
def step_settings(context):
    context.settings = _settings(
        Bootstrap=True,
        Bounds={"RetryBudgetSlack": 130, "GraceS": 8, "ColdSlack": 5},
        NewField=[1],
    )


@behave.when(
    'a settings file with the contracts "{contracts}" is read, '
    'without "{without}"'
)
def step_contracts(context, contracts, without):
    names = [name for name in contracts.split(", ") if name != "none"]
    excluded = "" if without == "none" else without
    with mock.patch.dict(os.environ, {"CITRONVALVE_WITHOUT": excluded}):
        try:
            context.settings = _settings(Contracts=names)
        except errors.SettingsError as error:
            context.error = error


@behave.then('its features are "{features}"')
def step_features(context, features):
    switched = context.settings.features._asdict()
    on = [name for name, is_on in switched.items() if is_on]
    assert on == features.split(", "), on


@behave.then("it is refused, and the features to choose from are named")
def step_unknown_feature(context):
    assert "even_load" in str(context.error), context.error


@behave.when("a settings file of a VM with limits is read")
def step_limits(context):
    limits = {"CpuShare": 0.5, "Cores": 2, "MemoryMb": 200, "LinkMbps": 10.0}
    context.settings = _settings(Limits=limits)


@behave.then("the daemon knows its memory, processors and link")
def step_machine(context):
    assert context.settings.machine == (200_000_000, 1.0, 1_250.0)


@behave.then("the daemon's settings hold its addresses and bounds")
def step_held(context):
    settings = context.settings
    assert settings.callers == "10.1.0.40:8227"
    assert settings.operators == "10.1.0.40:8220"
    assert settings.peers == "10.1.0.40:7340"
    assert settings.repeats.slack == 130
    assert settings.grace == 8_000
    assert settings.first_start is True


@behave.when("another daemon keeps confirming an earlier read")
def step_vouch_on(context):
    context.calls = dict(context.store.calls)
    context.read_at = context.clock.now()


@behave.then("the follower makes a call within {seconds:g} s of that read")
def step_call_within(context, seconds):
    until = context.read_at + round(seconds * 1_000)
    while context.clock.now() < until:
        age = context.clock.now() - context.read_at
        if age < 1_300:
            context.tail.confirm(context.tail.state()._replace(age=age), "b")
        context.tail.step()
        if context.store.calls != context.calls:
            return
        eventlet.sleep(0.05)
    raise AssertionError("the follower trusted an old read")
