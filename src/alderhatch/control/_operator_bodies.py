"""The bodies of operators' requests, checked before anything is done."""

from __future__ import annotations

from typing import Annotated, Any, TypeVar

import orjson
from pydantic import BaseModel, ConfigDict, Field, ValidationError

from ..clock import Millis
from ..core.control.actions import HostRole
from ..core.priority import Priority
from ..errors import AlderhatchError, ErrorKind, Failure
from ..http.messages import HttpRequest
from ..settings.models import Address, Name

DEFAULT_TIMEOUT: Millis = 7000.0
MAX_TIMEOUT: Millis = 60_000.0


class _Body(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True, strict=True)


class ChangeBody(_Body):
    """What every change has."""

    change_id: Annotated[str, Field(pattern=r"^[A-Za-z0-9._-]{1,64}$")]
    expected_revision: Annotated[int, Field(ge=0)]


class AddRuleBody(ChangeBody):
    """Add a rule."""

    rule: dict[str, Any]
    position: Annotated[int, Field(ge=1)] | None = None


class EditRuleBody(ChangeBody):
    """Edit a rule."""

    rule: dict[str, Any]


class MoveRuleBody(ChangeBody):
    """Move a rule."""

    position: Annotated[int, Field(ge=1)]


class ReplaceRulesBody(ChangeBody):
    """Replace the list."""

    rules: list[dict[str, Any]]


class SettingsBody(ChangeBody):
    """Change settings."""

    settings: Annotated[dict[str, Any], Field(min_length=1)]


class StopBody(ChangeBody):
    """Plan a stop."""

    forced: bool = False


class DepartBody(ChangeBody):
    """Declare a departure."""

    role: Annotated[HostRole, Field(strict=False)]
    upstream: str = ""
    forced: bool = False


class ReturnBody(ChangeBody):
    """Take back a server's departure."""

    role: Annotated[HostRole, Field(strict=False)]
    upstream: Annotated[str, Field(min_length=1)]


class ReplacementBody(_Body):
    """The new identity of a control host."""

    name: Name
    zone: Name
    address: Address
    port: Annotated[int, Field(ge=1, le=65535)]


class RepairBody(ChangeBody):
    """Replace a control host."""

    replacement: ReplacementBody
    forced: bool = False


class ExplainedRequest(_Body):
    """A request as rules see it."""

    kind: str = ""
    upstream: str = ""
    caller: str = ""
    zone: str = ""
    priority: Annotated[Priority, Field(strict=False)] = Priority.NORMAL
    idempotent: bool = True
    headers: dict[str, str] = Field(default_factory=dict)


class ExplainBody(_Body):
    """Ask which rule takes a request."""

    request: ExplainedRequest = ExplainedRequest()


_BodyT = TypeVar("_BodyT", bound=_Body)


def parse_body(req: HttpRequest, model: type[_BodyT]) -> _BodyT:
    """Return the checked body of a request.

    Raises:
        AlderhatchError: ``bad_request``, naming the first field at fault.
    """
    try:
        raw = orjson.loads(req.body)
    except orjson.JSONDecodeError as exc:
        raise _bad("body", f"not JSON: {exc}") from exc
    if not isinstance(raw, dict):
        raise _bad("body", "expected a JSON object")
    try:
        return model.model_validate(raw)
    except ValidationError as exc:
        first = exc.errors()[0]
        field = ".".join(str(part) for part in first["loc"])
        raise _bad(field or "body", first["msg"]) from exc


def int_parameter(
    req: HttpRequest, name: str, default: int | None, least: int, most: int
) -> int | None:
    """Return a number of the query string.

    Raises:
        AlderhatchError: ``bad_request`` if it is no number or out of its range.
    """
    text = req.query.get(name)
    if text is None:
        return default
    if not (text.isascii() and text.isdigit() and len(text) < 16):
        raise _bad(name, "expected a whole number")
    if not least <= int(text) <= most:
        raise _bad(name, f"not from {least} to {most}")
    return int(text)


def timeout_parameter(req: HttpRequest) -> Millis:
    """Return the query string's ``timeout_ms``."""
    default, most = int(DEFAULT_TIMEOUT), int(MAX_TIMEOUT)
    return float(int_parameter(req, "timeout_ms", default, 1, most) or default)


def _bad(field: str, message: str) -> AlderhatchError:
    return AlderhatchError(Failure(ErrorKind.BAD_REQUEST, message, field))
