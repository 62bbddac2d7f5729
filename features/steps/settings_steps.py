from __future__ import annotations

import tempfile
from pathlib import Path

from behave import given, then, when

from alderhatch.settings.fault import SettingsFaultsError
from alderhatch.settings.loader import load_control, load_entry

EXAMPLES = Path("examples")
SECRET = "d41d8cd98f00b204e9800998ecf8427e"

ENTRY = """name = "entry-1"
zone = "waco-hall"
secret_file = "s"

address_ttl_ms = 3000
drain_ms = 20000

# Where callers connect.
[callers]
address = "10.0.0.1"
port = 7400

[operators]
address = "10.0.0.1"
port = 7401

[[controls]]
name = "control-1"
address = "10.0.0.9"
port = 7500

# Another control host.
[[controls]]
name = "control-3"
address = "10.0.0.9"
port = 7502

[[upstreams]]
name = "navigator"
map_poll_ms = 500
seeds = [
    { address = "10.0.1.1", port = 9100 },
    { address = "10.0.1.1", port = 9101 },
]

[limits]
queue = 16
"""

CONTROL = """name = "control-1"
zone = "waco-hall"
data_folder = "data"
secret_file = "secret"
keys_file = "keys"
lease_ms = 3000
heartbeat_ms = 100
election_timeout_ms = 700

[links]
address = "10.0.0.1"
port = 7500

[operators]
address = "10.0.0.1"
port = 7501

[[peers]]
name = "control-1"
address = "10.0.0.1"
port = 7500

[[peers]]
name = "control-2"
address = "10.0.0.2"
port = 7520

[[peers]]
name = "control-3"
address = "10.0.0.2"
port = 7510
"""


def _write(context, text, load):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.settings_path = Path(folder.name) / "settings.toml"
    context.settings_path.write_text(text)
    context.load_settings = load


def _replace_first(text, old, new):
    assert text.count(old) >= 1, f"{old!r} not found in the settings text"
    return text.replace(old, new.replace("\\n", "\n"), 1)


@given('settings of an entry in which "{text}" reads "{instead}"')
def step_modified_entry(context, text, instead):
    _write(context, _replace_first(ENTRY, text, instead), load_entry)


@given('settings of an entry in which "{text}" reads ""')
def step_entry_without_line(context, text):
    _write(context, _replace_first(ENTRY, text, ""), load_entry)


@given('settings of a control host in which "{text}" reads "{instead}"')
def step_modified_control(context, text, instead):
    _write(context, _replace_first(CONTROL, text, instead), load_control)


@given('settings of a control host in which "{text}" reads ""')
def step_control_without_line(context, text):
    _write(context, _replace_first(CONTROL, text, ""), load_control)


@given("settings of a control host in which the last peer is missing")
def step_even_peers(context):
    _write(context, CONTROL.rsplit("[[peers]]", 1)[0], load_control)


@given(
    "settings of an entry with an invalid port, an unknown key and a drain time that is too short"
)
def step_three_errors(context):
    text = _replace_first(ENTRY, "port = 7400", "port = 74000")
    text = _replace_first(text, "address_ttl_ms", "adress_ttl_ms")
    _write(context, _replace_first(text, "drain_ms = 20000", "drain_ms = 100"), load_entry)


@given('a settings file with the text "{text}"')
def step_settings_text(context, text):
    _write(context, "", load_entry)
    context.settings_path.write_bytes(text.encode().decode("unicode_escape").encode("latin-1"))


@given("settings of a control host whose {key} is {state}")
def step_referenced_files(context, key, state):
    _write(context, CONTROL, load_control)
    folder = context.settings_path.parent
    for name in ("secret", "keys"):
        (folder / name).write_text(SECRET)
        (folder / name).chmod(0o600)
    path = folder / {"secret_file": "secret", "keys_file": "keys", "data_folder": "data"}[key]
    match state:
        case "missing":
            path.unlink()
        case "open to the group":
            path.chmod(0o640)
        case "a folder":
            path.unlink()
            path.mkdir()
        case "too short":
            path.write_text(SECRET[:5] + "\n")
        case "a file":
            path.write_text("")


def _load(context, check_files):
    context.settings_faults = ()
    try:
        context.settings = context.load_settings(context.settings_path, check_files=check_files)
    except SettingsFaultsError as exc:
        context.settings_faults = exc.faults


@when("the settings are loaded")
def step_load(context):
    _load(context, check_files=False)


@when("the settings are loaded on their host")
def step_load_on_host(context):
    _load(context, check_files=True)


@then(
    'the settings have one fault, at line {line:d}, key "{key}", that says "{message}" and allows "{allowed}"'  # noqa: E501
)
def step_one_fault(context, line, key, message, allowed):
    assert len(context.settings_faults) == 1, [str(item) for item in context.settings_faults]
    fault = context.settings_faults[0]
    assert (fault.line, fault.key) == (line, key), str(fault)
    assert message in fault.message and allowed in fault.allowed, str(fault)
    assert str(fault).startswith(str(context.settings_path))


@then('the settings have one fault, at line {line:d}, key "", that says "{message}" and allows ""')
def step_one_file_fault(context, line, message):
    step_one_fault(context, line, "", message, "")


@then('the settings have faults at the keys "{keys}"')
def step_faults_at(context, keys):
    found = sorted(fault.key for fault in context.settings_faults)
    assert found == sorted(keys.split(", ")), [str(item) for item in context.settings_faults]


@then("the settings faults contain nothing of the secret")
def step_no_secret(context):
    messages = "\n".join(str(fault) for fault in context.settings_faults)
    assert SECRET[:5] not in messages, messages


@then("the path of the secret file is relative to the folder of the settings file")
def step_relative_path(context):
    assert context.settings_faults == ()
    assert context.settings.secret_file == context.settings_path.parent.resolve() / "secret"


@then(
    'the settings examples of "{deployment}" have {entries:d} entry hosts in {zones:d} zones and {controls:d} control hosts'  # noqa: E501
)
def step_examples(context, deployment, entries, zones, controls):
    folder = EXAMPLES / deployment
    entry_settings = [load_entry(path, False) for path in sorted((folder / "entry").glob("*.toml"))]
    control_settings = [
        load_control(path, False) for path in sorted((folder / "control").glob("*.toml"))
    ]
    assert (len(entry_settings), len(control_settings)) == (entries, controls)
    assert len({cfg.zone for cfg in entry_settings}) == zones
    assert (
        len({cfg.name for cfg in entry_settings})
        == len({cfg.callers.address for cfg in entry_settings})
        == entries
    )
    assert {cfg.controls for cfg in entry_settings} == {cfg.peers for cfg in control_settings}
    assert len({tuple(item.name for item in cfg.upstreams) for cfg in entry_settings}) == 1
    assert {cfg.lease_ms for cfg in control_settings} == {control_settings[0].lease_ms}
