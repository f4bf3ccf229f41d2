"""Steps that check declarations without a platform."""

import json
import pathlib

import behave

from tests import alteration
from tests import commandrun

_DECLARATION = {
    "teams": {
        "kaban": {"token_sha256": "a" * 64, "weight": 2},
        "ledger": {"token_sha256": "b" * 64},
    },
    "models": {"kantei": {}},
    "datacentres": {"hakodate": {}, "sapporo": {}},
    "upstreams": {
        "engine-1": {
            "datacentre": "hakodate",
            "address": "127.0.0.1:8101",
            "kind": "engine",
            "serves": ["kantei"],
        },
        "records-1": {
            "datacentre": "sapporo",
            "address": "127.0.0.1:8201",
            "kind": "plain",
            "serves": ["records"],
        },
    },
    "groups": {
        "pair": {
            "datacentre": "sapporo",
            "model": "kantei",
            "size": 4,
            "replicas": 1,
        }
    },
    "services": {"records": {}},
    "limits": [
        {
            "team": "ledger",
            "model": "kantei",
            "datacentre": "sapporo",
            "slots": 4,
        }
    ],
    "switches": {"keep_keys": 60000},
}


def _write(context, name, value):
    path = pathlib.Path(context.folder.name) / name
    path.write_text(json.dumps(value))
    return str(path)


def _shown(value):
    """Return the rows as ``table show --json`` prints them."""
    sections = {name: value[name] for name in value if name != "limits"}
    sections["switches"] = {"all": value["switches"]}
    sections["limits"] = {
        f"{row['team']}/{row['model']}/{row['datacentre']}": row
        for row in value["limits"]
    }
    for section, rows in sections.items():
        if section not in ("limits", "switches"):
            sections[section] = {k: {"name": k, **v} for k, v in rows.items()}
    return {"exit_code": 0, "version": 7, "sections": sections}


def _check(context, value, *options):
    file = _write(context, "declaration.json", value)
    context.done = commandrun.run("check", file, *options)


@behave.when("a declaration is checked")
def step_check(context):
    _check(context, _DECLARATION)


@behave.when("a declaration is checked with {options}")
def step_check_with(context, options):
    _check(context, _DECLARATION, *options.split())


@behave.when("a declaration with {changes} is checked")
def step_check_altered(context, changes):
    _check(context, alteration.alter(_DECLARATION, changes))


@behave.when("a declaration with {changes} is checked with {options}")
def step_check_altered_with(context, changes, options):
    value = alteration.alter(_DECLARATION, changes)
    _check(context, value, *options.split())


@behave.when("a declaration with {changes} is checked against the {other}")
def step_check_against(context, changes, other):
    before = _DECLARATION if other == "first" else _shown(_DECLARATION)
    against = _write(context, "in-force.json", before)
    value = alteration.alter(_DECLARATION, changes)
    _check(context, value, "--against", against)


@behave.when(
    "a declaration of {left:d} of {count:d} teams is checked against the "
    "other version"
)
def step_check_removed(context, left, count):
    teams = {
        f"team-{number}": {"token_sha256": f"{number:064x}"}
        for number in range(count)
    }
    before = {**_DECLARATION, "teams": teams, "limits": []}
    kept = dict(list(teams.items())[:left])
    against = _write(context, "in-force.json", before)
    value = {**before, "teams": kept}
    _check(context, value, "--against", against)


@behave.when("the tool checks {words}")
def step_check_file(context, words):
    context.done = commandrun.run("check", *words.split())


@behave.then('the check exits {code:d} and says "{says}"')
def step_exits(context, code, says):
    commandrun.assert_result(context.done, code, says)


@behave.then('the only finding is at "{place}" and says "{says}"')
def step_finding(context, place, says):
    commandrun.assert_only_finding(context.done, place, says)


@behave.then(
    'the JSON report has exit code {code:d} and a finding at "{place}"'
)
def step_json_report(context, code, place):
    body = json.loads(context.done.stdout)
    assert body["exit_code"] == code == context.done.returncode, body
    assert [each["place"] for each in body["findings"]] == [place], body
    assert all(each["what"] and each["remedy"] for each in body["findings"])
