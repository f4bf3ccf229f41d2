"""Steps that read the source for its imports."""

import ast
import pathlib

import behave

import citronvalve

_ROOT = pathlib.Path(citronvalve.__file__).parent

_ALLOWED_BY_PACKAGE = {
    "model": set(),
    "routes": {"model"},
    "policy": {"model", "routes"},
    "connections": set(),
    "storage": {"connections", "model"},
    "table": {"model", "storage"},
    "once": {"policy", "model", "storage"},
    "groups": {"connections", "policy", "model", "storage"},
    "peers": {"policy", "model", "storage"},
    "replicas": {"policy", "model", "routes", "storage"},
    "upstreams": {"connections", "model"},
    "entry": {"policy", "model", "upstreams", "once"},
    "forward": {"entry", "policy", "replicas", "routes", "model"},
}

_IMPURE = {
    "asyncio",
    "eventlet",
    "logbook",
    "multiprocessing",
    "os",
    "pathlib",
    "secrets",
    "select",
    "socket",
    "ssl",
    "subprocess",
    "threading",
    "time",
    "urllib3",
    "zmq",
}

#: Taking the type of a generator is fine; its module-level functions share
#: hidden state, and are found by the second look below.
_GLOBAL_RANDOM = {"choice", "random", "randint", "shuffle", "uniform"}


def _imports(path):
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)
        if isinstance(node, ast.ImportFrom):
            yield from (f"{node.module}.{a.name}" for a in node.names)


@behave.when("the imports of every module are read")
def step_read(context):
    context.imports_by_path = {
        path: set(_imports(path)) for path in _ROOT.rglob("*.py")
    }


@behave.then("no package reaches outside its allowance")
def step_allowed(context):
    wrong = []
    for path, names in context.imports_by_path.items():
        package = path.relative_to(_ROOT).parts[0]
        allowed = _ALLOWED_BY_PACKAGE.get(package)
        if allowed is None:
            continue
        for name in sorted(names):
            parts = name.split(".")
            if parts[0] == "standins":
                wrong.append(f"{path.name} imports {name}")
            if parts[0] != "citronvalve" or len(parts) < 2:
                continue
            if parts[1] not in allowed | {package}:
                wrong.append(f"{package}/{path.name} imports {name}")
    assert not wrong, "\n".join(wrong)


@behave.then("policy imports no module that does input or output")
def step_pure(context):
    wrong = []
    for path, names in context.imports_by_path.items():
        if path.relative_to(_ROOT).parts[0] != "policy":
            continue
        tops = {name.split(".")[0] for name in names}
        wrong += [f"{path.name} imports {n}" for n in sorted(tops & _IMPURE)]
        wrong += [
            f"{path.name} calls random.{node.attr}"
            for node in ast.walk(ast.parse(path.read_text()))
            if isinstance(node, ast.Attribute)
            and isinstance(node.value, ast.Name)
            and node.value.id == "random"
            and node.attr in _GLOBAL_RANDOM
        ]
    assert not wrong, "\n".join(wrong)
