"""Steps that check configurations in the platform's words."""

import json
import pathlib
import tempfile

import behave

from tests import alteration
from tests import commandrun

_KEYS = ("key-1", "key-2", "key-3")

_CONFIGURATION = {
    "Version": 7,
    "Routes": [
        {
            "Name": "chat",
            "Host": "h.example",
            "Prefix": "/a/",
            "Kind": "streaming",
            "TimeoutMs": 8000,
            "TargetLatencyMs": 400,
            "TargetGapMs": 250,
            "TrafficSplit": [
                {"Service": "engines", "Weight": 90},
                {"Service": "desk", "Weight": 10},
            ],
            "MaxAttempts": 2,
            "StreamResume": True,
            "SessionAffinity": True,
        },
        {
            "Name": "records",
            "Host": "h.example",
            "Prefix": "/a/r/",
            "Kind": "unsafe",
            "TimeoutMs": 1500,
            "TargetLatencyMs": 400,
            "Service": "desk",
        },
    ],
    "Services": [
        {
            "Name": "engines",
            "MaxConnections": 464,
            "ColdStartS": 3.0,
            "ColdPerS": 36.0,
            "Engine": {
                "Slots": 13,
                "KvCapacity": 1235000,
                "LinkMbps": 400000.0,
                "step_ms": 6.45,
                "usual": {"prompt": 1115, "answer": 152},
                "Models": [
                    {"Name": "m", "size": 6, "LoadS": 16.0, "WarmupS": 1.6}
                ],
            },
        },
        {"Name": "desk", "MaxConnections": 96, "Protocol": "h1"},
    ],
    "Limits": {"MaxHeaderBytes": 16384, "IdleTimeoutMs": 15000},
    "Tenants": [
        {"Name": "kaban", "ApiKeys": ["key-1"], "Priority": 1},
        {"Name": "ledger", "ApiKeys": ["key-2"]},
    ],
}

_SETTINGS = {
    "NodeName": "front-a-1",
    "Zone": "a",
    "Ip": "10.1.0.40",
    "Listen": {"Front": "10.1.0.40:8227", "Ready": "10.1.0.40:8220"},
    "InternalPorts": [7340, 7355],
    "Platform": {"Address": "10.200.1.7:8223", "form": "table"},
}


def _write(folder, name, text):
    path = pathlib.Path(folder) / name
    path.write_text(text)
    return str(path)


def _check(context, text, **text_by_option):
    """Check a file; each option names a file with the text."""
    with tempfile.TemporaryDirectory() as folder:
        words = [_write(folder, "new.json", text), "--adapter", "platform"]
        for option, each in text_by_option.items():
            words += [f"--{option}", _write(folder, option, each)]
        context.done = commandrun.run("check", *words)


def _altered(changes):
    return json.dumps(alteration.alter(_CONFIGURATION, changes))


@behave.when("a configuration is checked")
def step_check(context):
    _check(context, json.dumps(_CONFIGURATION))


@behave.when("a configuration with {changes} is checked")
def step_check_altered(context, changes):
    _check(context, _altered(changes))


@behave.when(
    "a configuration with {changes} is checked against the version in force"
)
def step_check_against(context, changes):
    _check(context, _altered(changes), against=json.dumps(_CONFIGURATION))


@behave.when("a file with the text {text} is checked")
def step_check_text(context, text):
    _check(context, text)


@behave.when("a configuration is checked against a file with the text {text}")
def step_check_against_text(context, text):
    _check(context, json.dumps(_CONFIGURATION), against=text)


@behave.when("a configuration is checked for {count:d} runners")
def step_check_runners(context, count):
    with tempfile.TemporaryDirectory() as folder:
        file = _write(folder, "new.json", json.dumps(_CONFIGURATION))
        context.done = commandrun.run(
            *("check", file, "--adapter", "platform"),
            *("--runners", str(count)),
        )


@behave.when(
    "a configuration is checked with settings whose budget has the slack "
    "{slack:d}"
)
def step_check_budget(context, slack):
    bounds = {"RetryBudgetSlack": slack, "RetryBudgetRatio": 0.2}
    settings = json.dumps({**_SETTINGS, "Bounds": bounds})
    _check(context, json.dumps(_CONFIGURATION), settings=settings)


@behave.when("a configuration is checked with settings that do not exist")
def step_check_no_settings(context):
    with tempfile.TemporaryDirectory() as folder:
        file = _write(folder, "new.json", json.dumps(_CONFIGURATION))
        context.done = commandrun.run(
            *("check", file, "--adapter", "platform"),
            *("--settings", f"{folder}/none.json"),
        )


@behave.then('the check exits {code:d} and says "{says}"')
def step_exits(context, code, says):
    commandrun.assert_result(context.done, code, says)


@behave.then('the only finding is at "{place}" and says "{says}"')
def step_finding(context, place, says):
    commandrun.assert_only_finding(context.done, place, says)


@behave.then("no API key is printed")
def step_no_key(context):
    output = context.done.stdout + context.done.stderr
    assert not any(key in output for key in _KEYS), output


@behave.then("nothing is said about changes")
def step_no_changes(context):
    assert "change" not in context.done.stdout, context.done.stdout
    assert "differ" not in context.done.stdout, context.done.stdout
