"""Admits requests of organisations within their quotas, which hold over all hosts together."""

from __future__ import annotations

from ..clock import Millis
from ..core.forwarding.organisation import Organisation


class QuotaGate:
    """Takes a token of an organisation's quota for each request that runs at this host."""

    async def admit(self, organisation: Organisation, deadline: Millis) -> None:
        """Take a token for a request that is about to run.

        Args:
            organisation: The organisation of the request.
            deadline: When the caller stops waiting, on the loop's clock.

        Raises:
            AlderhatchError: With kind ``caller_limit`` if the quota is exhausted.
        """

    def give_back(self, organisation: Organisation) -> None:
        """Return the token of a request that has not run."""
