"""Decides which organisation a request belongs to, and what follows for its priority."""

from __future__ import annotations

from ...errors import AlderhatchError, ErrorKind, Failure
from .organisation import Organisation, OrganisationTable
from .route import Route


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
        state = "missing" if key is None else "unknown"
        raise AlderhatchError(Failure(ErrorKind.UNAUTHORIZED, f"the caller's key is {state}"))
    return organisation


def effective_rank(route: Route, organisation: Organisation | None) -> int:
    """Return the priority of a request; 0 is the most urgent.

    Args:
        route: The route of the request.
        organisation: The organisation of the request; None if there is none.
    """
    if organisation is None or organisation.rank is None:
        return route.rank
    return organisation.rank
