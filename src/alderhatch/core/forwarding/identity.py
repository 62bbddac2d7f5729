"""Decides which organisation a request belongs to, and what follows for its priority."""

from __future__ import annotations

from typing import NamedTuple

from ...errors import AlderhatchError, ErrorKind, Failure
from .organisation import Organisation, OrganisationTable, key_digest
from .route import Route


class Identity(NamedTuple):
    """Whose request it is, as one host has decided; travels between hosts in place of the key."""

    organisation: str | None
    """The name of the organisation; None for a request on a public route without a known key."""
    key_digest: bytes | None
    """The digest of the caller's key; None if there is no organisation."""
    version: int
    """The configuration version by which the host has decided."""


def identify(
    organisations: OrganisationTable, route: Route, key: str | None
) -> Organisation | None:
    """Return the organisation of a request; None on a public route without a known key.

    Args:
        organisations: The organisations of the configuration in use.
        route: The route of the request.
        key: The key that the caller sent; None if there is none.

    Raises:
        AlderhatchError: With kind ``unauthorized`` if the route is not public and the key is
            missing or unknown.
    """
    organisation = organisations.with_key(key) if key is not None else None
    if organisation is None and not route.public:
        raise _unauthorized("the caller's key is missing" if key is None else _unknown(key))
    return organisation


def confirm(
    organisations: OrganisationTable, route: Route, identity: Identity
) -> Organisation | None:
    """Return the organisation of a request that an earlier decision names, if it still holds.

    Another host, or this host some time ago, has decided by a configuration in which the key may
    not have been taken away yet. Without this check, servers would run requests for such a key for
    as long as any host is behind.

    Args:
        organisations: The organisations of the configuration in use.
        route: The route of the request.
        identity: The earlier decision.

    Returns:
        The organisation; None on a public route without a key that is still valid.

    Raises:
        AlderhatchError: With kind ``unauthorized`` if the route is not public and the organisation
            no longer holds the key.
    """
    holder = None
    if identity.key_digest is not None:
        holder = organisations.with_digest(identity.key_digest)
    if holder is not None and holder.name == identity.organisation:
        return holder
    if not route.public:
        raise _unauthorized(
            f"organisation {identity.organisation!r} no longer holds the caller's key that was"
            f" valid in configuration version {identity.version}"
        )
    return None


def effective_rank(route: Route, organisation: Organisation | None) -> int:
    """Return the priority of a request; 0 is the most urgent.

    Args:
        route: The route of the request.
        organisation: The organisation of the request; None if there is none.
    """
    if organisation is None or organisation.rank is None:
        return route.rank
    return organisation.rank


def _unknown(key: str) -> str:
    # The key itself must not get into logs, but an operator has to tell a key that is misspelt
    # from one that was taken away.
    return f"the caller's key is unknown; its SHA-256 begins with {key_digest(key).hex()[:8]}"


def _unauthorized(message: str) -> AlderhatchError:
    return AlderhatchError(Failure(ErrorKind.UNAUTHORIZED, message))
