"""Odd inputs for each border of a node, made from good ones by hypothesis.

Each input is small data that can be printed, and is turned into bytes where it is sent.
"""

from __future__ import annotations

import json
from types import NoneType, UnionType
from typing import Any, NamedTuple, Union, get_args, get_origin, get_type_hints

from hypothesis import strategies as st

UNREADABLE = "\ufffd"
ODD_TEXTS = (
    "",
    " ",
    "\x00",
    "\r\nOdd: 1",
    UNREADABLE * 4,
    "\ud800",
    "é",
    "\u202e",
    "a" * 300,
    "..",
    "%00",
    ":",
    "[::1",
    "nan",
    "-1",
    "9" * 400,
    "1e999",
    "0x10",
)
ODD_NUMBERS = (0, -1, 1, 2**31, 2**63, 10**18, 10**400, 0.5, 1e308, float("nan"), float("inf"))
DEEP_LEVELS = 3000
DEEP = "deep"
"""Stands for a list that is nested ``DEEP_LEVELS`` deep, which ``json`` could not write."""

odd_texts = st.sampled_from(ODD_TEXTS) | st.text(max_size=12)
odd_scalars = odd_texts | st.sampled_from(ODD_NUMBERS) | st.none() | st.booleans()
odd_values = odd_scalars | st.sampled_from(([], {}, [[]], {"a": [None]}, DEEP))


def changed_text(good):
    """Return a strategy of texts that differ from a good one in one place, or altogether."""
    places = st.tuples(st.integers(0, len(good)), st.integers(0, len(good))).map(sorted)
    return odd_texts | st.builds(
        lambda place, odd: good[: place[0]] + odd + good[place[1] :], places, odd_texts
    )


def changed_value(good):
    """Return a strategy of values that take the place of a good one."""
    return changed_text(good) | odd_values if isinstance(good, str) else odd_values


@st.composite
def changed_object(draw, good, names=None):
    """Return a copy of a JSON object with one to three fields changed or missing."""
    odd = dict(good)
    names = draw(st.lists(st.sampled_from(names or sorted(good)), min_size=1, max_size=3))
    for name in names:
        if draw(st.integers(0, 9)) == 0:
            odd.pop(name, None)
        else:
            odd[name] = draw(changed_value(good[name]))
    return odd


def to_json(value, ascii_only=True):
    """Return JSON bytes of a value, also of one that no sound writer writes."""
    text = json.dumps(value, ensure_ascii=ascii_only)
    text = text.replace(json.dumps(DEEP), "[" * DEEP_LEVELS + "]" * DEEP_LEVELS)
    return text.encode("utf-8", "surrogatepass")


@st.composite
def changed_bytes(draw, good):
    """Return bytes that differ from good ones in one place: cut, repeated, replaced or added."""
    begin, end = sorted(draw(st.tuples(*[st.integers(0, len(good))] * 2)))
    odd = draw(st.binary(max_size=6) | st.just(good[begin:end] * 2))
    return good[:begin] + odd + good[end:]


# The server list


class OddList(NamedTuple):
    """Entries of another writer, and how the page that has them is written."""

    entries: tuple[Any, ...]
    ascii_only: bool = True
    position: int = 0
    """How many of the page's own entries come before them."""


def odd_lists(good_entry, impostors):
    """Return a strategy of one to three entries beside those of the servers.

    Args:
        good_entry: An entry of a known upstream, of no server.
        impostors: Well-formed entries that are no servers either.
    """
    entries = changed_object(good_entry) | changed_object(good_entry, ["address", "instance-id"])
    entries |= st.sampled_from(impostors) | odd_values
    return st.builds(
        OddList,
        st.lists(entries, min_size=1, max_size=3).map(tuple),
        st.booleans(),
        st.integers(0, 3),
    )


# Answers of servers

ANSWER_FIELDS = (
    "Attempt-Id",
    "Server-Load",
    "Content-Type",
    "Content-Length",
    "Transfer-Encoding",
    "Connection",
    "Retry-After",
    "Content-Encoding",
    "Keep-Alive",
    "Odd",
)
UNSIGNED_VALUES = ("", " ", "a b", "\x01", "é", "a,b")
"""Values of a signature that no host may pass on; another readable one can't be told from it."""
ODD_STATUS_LINES = (
    "HTTP/1.1 503 Full",
    "HTTP/1.1 429 Wait",
    "HTTP/1.1 404 No",
    "HTTP/1.1 302 Elsewhere",
    "HTTP/1.1 500 Failed",
    "HTTP/1.1 100 Continue",
    "HTTP/1.1 999 Odd",
    "HTTP/1.1 0 Odd",
    "HTTP/1.1 " + "9" * 400,
    "HTTP/9.9 200 OK",
    "nothing of the kind",
    "",
)


class SetField(NamedTuple):
    """A header field is replaced, or added."""

    name: str
    value: str


class DropField(NamedTuple):
    """A header field is left out."""

    name: str


class DoubleField(NamedTuple):
    """A header field stands twice."""

    name: str


class SetStatus(NamedTuple):
    """Another status line."""

    line: str


class CutAnswer(NamedTuple):
    """Only so many bytes arrive."""

    length: int


class AppendBytes(NamedTuple):
    """Bytes after the whole answer."""

    data: bytes


def odd_answers():
    """Return a strategy of one to three changes that a server's answers undergo."""
    fields = st.sampled_from((*ANSWER_FIELDS, "Server-Seal"))
    changes = (
        st.builds(SetField, st.sampled_from(ANSWER_FIELDS), odd_texts | st.just("1" * 400))
        | st.builds(SetField, st.just("Server-Seal"), st.sampled_from(UNSIGNED_VALUES))
        | st.builds(DropField, fields)
        | st.builds(DoubleField, st.sampled_from(("Attempt-Id", "Server-Seal", "Content-Length")))
        | st.builds(SetStatus, st.sampled_from(ODD_STATUS_LINES))
        | st.builds(CutAnswer, st.integers(0, 120))
        | st.builds(AppendBytes, st.binary(min_size=1, max_size=40))
    )
    return st.lists(changes, min_size=1, max_size=3).map(tuple)


def change_answer(data, changes):
    """Return the bytes of an answer after its changes; other bytes stay as they are."""
    head, separator, body = data.partition(b"\r\n\r\n")
    if not separator or not head.startswith(b"HTTP/1.1 "):
        return data
    status, *lines = head.decode("latin-1").split("\r\n")
    tail = b""
    cut = None
    for change in changes:
        match change:
            case SetField(name, value):
                lines = _without(lines, name)
                lines.append(f"{name}: {value}")
            case DropField(name):
                lines = _without(lines, name)
            case DoubleField(name):
                lines += [line for line in lines if _names(line, name)]
            case SetStatus(line):
                status = line
            case CutAnswer(length):
                cut = length
            case AppendBytes(more):
                tail += more
    text = "\r\n".join([status, *lines, "", ""])
    return (text.encode("utf-8", "surrogatepass") + body + tail)[:cut]


def _names(line, name):
    return line.partition(":")[0].lower() == name.lower()


def _without(lines, name):
    return [line for line in lines if not _names(line, name)]


# Requests of callers and operators

REQUEST_ID = "<id>"
"""Stands for an ID that is new each time the request is sent."""


class OddRequest(NamedTuple):
    """Bytes that are sent to one of a node's ports on a connection of their own."""

    port: int
    """The position among the node's ports."""
    data: bytes


def odd_requests(ports, good_requests):
    """Return a strategy of requests that differ from good ones.

    Args:
        ports: The ports to send them to, by position.
        good_requests: Complete requests as text, with ``REQUEST_ID`` where an ID belongs.
    """

    def changed(good):
        lines = good.split("\r\n")
        numbers = st.integers(0, len(lines) - 1)
        one_line = st.builds(
            lambda number, odd: "\r\n".join([*lines[:number], odd, *lines[number + 1 :]]),
            numbers,
            numbers.flatmap(lambda number: changed_text(lines[number])),
        )
        one_value = st.builds(
            lambda number, odd: "\r\n".join(
                [
                    *lines[:number],
                    lines[number].partition(":")[0] + ": " + odd,
                    *lines[number + 1 :],
                ]
            ),
            numbers,
            odd_texts,
        )
        as_bytes = (one_line | one_value).map(lambda text: text.encode("utf-8", "surrogatepass"))
        return as_bytes | changed_bytes(good.encode())

    data = st.sampled_from(good_requests).flatmap(changed)
    return st.builds(OddRequest, st.sampled_from(ports), data)


# Messages of other hosts


class OddMessages(NamedTuple):
    """What another host sends on one link."""

    role: str
    messages: tuple[Any, ...]
    """Typed messages, or bytes that are sent as they are."""


def odd_messages(roles, types, texts):
    """Return a strategy of links with one to three messages.

    Args:
        roles: The roles that a link can have.
        types: The types of all messages.
        texts: Texts of a sound tier, for example names and addresses.
    """
    texts = st.sampled_from(texts) | odd_texts.filter(_is_encodable)
    message = st.sampled_from(types).flatmap(lambda one: _typed_values(one, texts))
    messages = st.lists(message | st.binary(max_size=20), min_size=1, max_size=3).map(tuple)
    return st.builds(OddMessages, st.sampled_from(roles), messages)


def _is_encodable(text):
    return not any("\ud800" <= character <= "\udfff" for character in text)


def _values(annotation, texts):
    """Return a strategy of values of an annotated type, now and then of another one."""
    good = _typed_values(annotation, texts)
    return st.integers(0, 39).flatmap(lambda number: good if number else odd_scalars_on_wire)


odd_scalars_on_wire = (
    st.sampled_from([one for one in ODD_NUMBERS if one != 10**400])
    | odd_texts.filter(_is_encodable)
    | st.none()
)


def _typed_values(annotation, texts):
    origin, arguments = get_origin(annotation), get_args(annotation)
    if origin in (Union, UnionType):
        return st.one_of([_typed_values(one, texts) for one in arguments])
    if origin in (list, tuple):
        return st.lists(_values(arguments[0], texts), max_size=3)
    if origin is dict:
        return st.dictionaries(texts, _values(arguments[1], texts), max_size=3)
    if annotation in (None, NoneType):
        return st.none()
    if annotation is str:
        return texts
    if annotation is bytes:
        return st.binary(max_size=20)
    if annotation is bool:
        return st.booleans()
    if annotation in (int, float):
        return st.integers(-2, 70_000) | st.sampled_from([2**31, 2**63, 10**299, float("inf")])
    if hasattr(annotation, "_fields"):
        hints = get_type_hints(annotation)
        fields = [_values(hints[name], texts) for name in annotation._fields]
        return st.tuples(*fields).map(lambda values: annotation(*values))
    if isinstance(annotation, type):
        return st.sampled_from(list(annotation))
    return st.none()


# Inputs that once did harm

ENTRY = {
    "instance-id": "i-odd",
    "service": "kitchen",
    "zone": "austin-hall",
    "version": "v1",
    "max-concurrency": 2,
    "state": "ready",
    "warmup-left-ms": 0,
}
KEPT_INPUTS = {
    "list": (
        OddList((ENTRY | {"address": f"{UNREADABLE * 4}:8080"},)),
        OddList((ENTRY | {"address": "127.2S:\x08\x8djS:42133"},)),
    ),
    "answers": (
        (SetField("Server-Seal", ""),),
        (SetStatus("HTTP/1.1 503 Full"),),
    ),
}
"""By border."""
