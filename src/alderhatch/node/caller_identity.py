"""Decides at this host whose organisation a request belongs to."""

from __future__ import annotations

from ..clock import LoopClock, Millis
from ..core.forwarding.identity import Identity, confirm, identify
from ..core.forwarding.organisation import Organisation, OrganisationTable
from ..core.forwarding.route import Route
from ..errors import AlderhatchError, ErrorKind, Failure
from .dialect import CallerRequest, Dialect
from .node_state import NodeState

NO_CONFIGURATION_RETRY_AFTER: Millis = 300.0
"""How long a caller should wait before it retries at a host without the current configuration."""
VERSION_WAIT_TIMEOUT: Millis = 300.0
"""How long a request waits for a configuration version that another host has already used."""


class CallerIdentity:
    """Finds the routes and the organisations of requests by the configuration in use.

    Args:
        state: The node's state: the configuration and its lease.
        dialect: Reads callers' keys.
    """

    def __init__(self, state: NodeState, dialect: Dialect) -> None:
        self._state = state
        self._dialect = dialect
        self._clock = LoopClock()

    def route_of(self, req: CallerRequest) -> Route:
        """Return the route of a request.

        Raises:
            AlderhatchError: With kind ``no_configuration`` if the current routes have not arrived
                here yet, or ``not_found`` if none of them matches.
        """
        state = self._state
        # A host that answered for this one may have a version that has not arrived here yet.
        if state.stored.version == 0 or state.stored.version < state.seen_version:
            message = "this host has not received the current configuration yet"
            raise _no_configuration(message)
        route = state.routes.find(req.host, req.http.path)
        if route is None:
            message = f"no route for host {req.host!r} and path {req.http.path!r}"
            raise AlderhatchError(Failure(ErrorKind.NOT_FOUND, message))
        return route

    def identify(self, req: CallerRequest, route: Route) -> CallerRequest:
        """Return a request with its organisation, where the configuration declares organisations.

        A decision of another host that came with the request is checked; else the key decides.

        Raises:
            AlderhatchError: With kind ``unauthorized`` if the caller's key is missing or unknown,
                or ``lease_expired`` if this host may no longer serve keys.
        """
        state = self._state
        if state.organisations is None:
            return req._replace(identity=None)
        if not route.public:
            state.lease.check(self._clock.now())
        organisation, digest = self._decide(state.organisations, req, route)
        name = organisation.name if organisation is not None else None
        identity = Identity(name, digest, state.stored.version)
        return self._dialect.identified(req, organisation)._replace(identity=identity)

    def _decide(
        self, organisations: OrganisationTable, req: CallerRequest, route: Route
    ) -> tuple[Organisation | None, bytes | None]:
        """Return the organisation of a request and the digest of the key that shows it."""
        if req.identity is not None:
            organisation = confirm(organisations, route, req.identity)
            return organisation, req.identity.key_digest if organisation is not None else None
        key = self._dialect.key(req)
        organisation = identify(organisations, route, key)
        return organisation, organisations.digest(key) if key is not None else None

    async def wait_for_version(self, version: int) -> None:
        """Wait for a configuration version that another host has already used.

        Raises:
            AlderhatchError: If the version does not arrive within ``VERSION_WAIT_TIMEOUT``.
        """
        state = self._state
        deadline = self._clock.now() + VERSION_WAIT_TIMEOUT
        while state.stored.version < version:
            if self._clock.now() >= deadline:
                message = f"this host has not received configuration version {version} yet"
                raise _no_configuration(message)
            await state.configured.wait_for(deadline - self._clock.now())


def check_still_identified(state: NodeState, req: CallerRequest, route: Route, now: Millis) -> None:
    """Check that a request which is already in progress may be sent to further servers.

    Raises:
        AlderhatchError: With kind ``unauthorized`` if its organisation no longer holds the key, or
            ``lease_expired`` if this host may no longer serve keys.
    """
    if state.organisations is None or req.identity is None:
        return
    if not route.public:
        state.lease.check(now)
    organisation = confirm(state.organisations, route, req.identity)
    if (organisation.name if organisation is not None else None) != req.identity.organisation:
        message = f"organisation {req.identity.organisation!r} no longer holds the caller's key"
        raise AlderhatchError(Failure(ErrorKind.UNAUTHORIZED, message))


def _no_configuration(message: str) -> AlderhatchError:
    kind = ErrorKind.NO_CONFIGURATION
    return AlderhatchError(Failure(kind, message, None, NO_CONFIGURATION_RETRY_AFTER))
