"""Requests between hosts that carry the caller's identity instead of its key."""

from __future__ import annotations

from typing import Any, NamedTuple, TypeAlias

from ..core.forwarding.identity import Identity
from ..core.forwarding.organisation import KEY_DIGEST_BYTES
from ..errors import AlderhatchError, ErrorKind, Failure
from .gather_messages import PartsRequest
from .hand_over_messages import HandedRequest


class IdentifiedRequest(NamedTuple):
    """A caller's request whose organisation the sender has decided."""

    number: int
    """Identifies the request on its link; replaces that of ``request``."""
    request: HandedRequest
    """The request, without the header fields that tell the caller's identity."""
    identity: Identity


class IdentifiedPartsRequest(NamedTuple):
    """A request for a share of a gather whose organisation the sender has decided."""

    number: int
    """Identifies the request on its link; replaces that of ``request``."""
    request: PartsRequest
    """The request, without the header fields that tell the caller's identity."""
    identity: Identity


IDENTITY_MESSAGE_TYPES: tuple[type[Any], ...] = (IdentifiedRequest, IdentifiedPartsRequest)
PlainRequest: TypeAlias = HandedRequest | PartsRequest
"""What one host asks of another."""
Request: TypeAlias = PlainRequest | IdentifiedRequest | IdentifiedPartsRequest
"""A request from one host to another, as it goes over a link."""


def with_identity(req: PlainRequest, identity: Identity | None) -> Request:
    """Return the message for a request; without an identity, one that every build understands."""
    if identity is None:
        return req
    if isinstance(req, HandedRequest):
        return IdentifiedRequest(0, req, identity)
    return IdentifiedPartsRequest(0, req, identity)


def split_identity(message: Request) -> tuple[PlainRequest, Identity | None]:
    """Return the request of a message, with the number of the message, and the identity."""
    match message:
        case IdentifiedRequest(number, request, identity):
            return request._replace(number=number), identity
        case IdentifiedPartsRequest(number, parts_request, identity):
            return parts_request._replace(number=number), identity
        case HandedRequest() | PartsRequest():
            return message, None


def check_identity(identity: Identity) -> None:
    """Validate what another host says about the identity of a caller.

    Raises:
        AlderhatchError: If a field is invalid; names the field.
    """
    if identity.version < 1:
        raise _invalid("version", "must be greater than 0")
    if identity.organisation == "":
        raise _invalid("organisation", "must not be empty")
    if (identity.key_digest is None) != (identity.organisation is None):
        raise _invalid("key_digest", "must be there if, and only if, there is an organisation")
    if identity.key_digest is not None and len(identity.key_digest) != KEY_DIGEST_BYTES:
        raise _invalid("key_digest", f"must have {KEY_DIGEST_BYTES} bytes")


def _invalid(field: str, message: str) -> AlderhatchError:
    path = f"identity.{field}"
    return AlderhatchError(Failure(ErrorKind.BAD_REQUEST, f"{path}: {message}", path))
