"""Validation of the bodies and query parameters of operator requests."""

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
    """The fields that every change has."""

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
    """Replace the whole list of rules."""

    rules: list[dict[str, Any]]


class SettingsBody(ChangeBody):
    """Change settings."""

    settings: Annotated[dict[str, Any], Field(min_length=1)]


class StopBody(ChangeBody):
    """Plan a stop of a host."""

    forced: bool = False


class DepartBody(ChangeBody):
    """Declare that a host leaves permanently."""

    role: Annotated[HostRole, Field(strict=False)]
    upstream: str = ""
    forced: bool = False


class ReturnBody(ChangeBody):
    """Revoke the departure of an upstream's server."""

    role: Annotated[HostRole, Field(strict=False)]
    upstream: Annotated[str, Field(min_length=1)]


class ReplacementBody(_Body):
    """The control host that takes the place of another one."""

    name: Name
    zone: Name
    address: Address
    port: Annotated[int, Field(ge=1, le=65535)]


class RepairBody(ChangeBody):
    """Replace a control host."""

    replacement: ReplacementBody
    forced: bool = False


class ExplainedRequest(_Body):
    """The attributes of a request that rules match on."""

    kind: str = ""
    upstream: str = ""
    caller: str = ""
    zone: str = ""
    priority: Annotated[Priority, Field(strict=False)] = Priority.NORMAL
    idempotent: bool = True
    headers: dict[str, str] = Field(default_factory=dict)


class ExplainBody(_Body):
    """Ask which rule matches a request."""

    request: ExplainedRequest = ExplainedRequest()


_BodyT = TypeVar("_BodyT", bound=_Body)


def parse_body(req: HttpRequest, model: type[_BodyT]) -> _BodyT:
    """Parse and validate the body of a request.

    Raises:
        AlderhatchError: ``bad_request``, naming the first invalid field.
    """
    try:
        raw = orjson.loads(req.body)
    except orjson.JSONDecodeError as exc:
        raise _bad_request("body", f"not JSON: {exc}") from exc
    if not isinstance(raw, dict):
        raise _bad_request("body", "expected a JSON object")
    try:
        return model.model_validate(raw)
    except ValidationError as exc:
        first = exc.errors()[0]
        field = ".".join(str(part) for part in first["loc"])
        raise _bad_request(field or "body", first["msg"]) from exc


def int_parameter(
    req: HttpRequest, name: str, default: int | None, minimum: int, maximum: int
) -> int | None:
    """Return an integer parameter of the query string.

    Args:
        req: The request.
        name: The name of the parameter.
        default: The value if the parameter is absent.
        minimum: The smallest accepted value.
        maximum: The largest accepted value.

    Raises:
        AlderhatchError: ``bad_request`` if it is not an integer or out of range.
    """
    text = req.query.get(name)
    if text is None:
        return default
    if not (text.isascii() and text.isdigit() and len(text) < 16):
        raise _bad_request(name, "expected a whole number")
    if not minimum <= int(text) <= maximum:
        raise _bad_request(name, f"expected a number from {minimum} to {maximum}")
    return int(text)


def timeout_parameter(req: HttpRequest) -> Millis:
    """Return the parameter ``timeout_ms`` of the query string, or its default."""
    default, maximum = int(DEFAULT_TIMEOUT), int(MAX_TIMEOUT)
    return float(int_parameter(req, "timeout_ms", default, 1, maximum) or default)


def _bad_request(field: str, message: str) -> AlderhatchError:
    return AlderhatchError(Failure(ErrorKind.BAD_REQUEST, message, field))
