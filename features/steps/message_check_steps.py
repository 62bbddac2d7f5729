from __future__ import annotations

import json

from behave import then
from hypothesis import given as for_all
from hypothesis import strategies as st

from alderhatch.codec import Codec
from alderhatch.core.forwarding.caller_hosts import HostRecord
from alderhatch.core.forwarding.server_record import ServerRecord
from alderhatch.message_check import MessageError, build_check
from alderhatch.node.tier_messages import (
    TIER_MESSAGE_TYPES,
    ConfigurationNews,
    DiskRecord,
    Join,
    Place,
    ServerNews,
    TierView,
)
from features.support.message_records import Record

check = build_check(Record)


@then('the value {value} as a record is rejected at "{path}"')
@then('the value {value} as a record is rejected at ""')
def step_rejected(context, value, path=""):
    try:
        found = check(json.loads(value))
    except MessageError as exc:
        assert exc.field_path == path, exc.field_path
        return
    raise AssertionError(found)


@then("the value {value} as a record is converted to {result}")
def step_converted(context, value, result):
    assert repr(check(json.loads(value))) == result


@then("random messages between hosts are the same after encoding and decoding")
def step_round_trip(context):
    codec = Codec(*TIER_MESSAGE_TYPES)
    text = st.text(max_size=12)
    port = st.integers(1, 65_535)
    place = st.builds(Place, text, text, port)
    share = st.floats(0, 64)
    disk = st.none() | st.builds(DiskRecord, text, text)
    server = st.builds(
        ServerRecord, text, text, text, port, text, port, st.booleans(), st.floats(0, 1e6)
    )
    host = st.builds(HostRecord, text, text, text, st.booleans(), share)
    messages = st.one_of(
        st.builds(Join, place, text, text, share, disk),
        st.builds(TierView, st.lists(host, max_size=4), st.lists(place, max_size=4), share),
        st.builds(ConfigurationNews, st.integers(0, 10**9), st.binary(max_size=50)),
        st.builds(ServerNews, st.booleans(), st.lists(server, max_size=4), st.lists(text)),
    )

    @for_all(messages)
    def check_round_trip(message):
        assert codec.decode(codec.encode(message)) == message

    check_round_trip()
