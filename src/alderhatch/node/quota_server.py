"""Serves the links over which other hosts charge the quotas that this host owns."""

from __future__ import annotations

from collections.abc import Callable

from ..clock import LoopClock
from ..core.forwarding.quota_host import QuotaHost
from ..core.forwarding.quota_owner import Sender
from ..link import Link, LinkClosedError
from .node_state import NodeState
from .quota_messages import HandedBalances, QuotaAnswers, QuotaCharges, log_refused_message


class QuotaServer:
    """Answers the charges of other hosts.

    Args:
        state: The node's state; its hosts are the ones that may send charges.
        quotas: Counts the charges.
        refresh: Applies the leader's last list of hosts and confirmation to ``quotas``.
    """

    def __init__(self, state: NodeState, quotas: QuotaHost, refresh: Callable[[], None]) -> None:
        self._state = state
        self._quotas = quotas
        self._refresh = refresh
        self._clock = LoopClock()

    async def serve(self, link: Link) -> None:
        """Answer one host until its link closes, or it sends an invalid message."""
        try:
            while True:
                message = await link.receive()
                answers = self._answer(link.peer.name, message)
                if answers is not None:
                    await link.send(answers)
        except LinkClosedError:
            return
        except ValueError as exc:
            log_refused_message(link.peer.name, message, exc)
            await link.aclose()

    def _answer(self, peer: str, message: object) -> QuotaAnswers | None:
        if all(host.name != peer for host in self._state.hosts):
            raise ValueError("sender: not in the list of hosts")
        self._refresh()
        now = self._clock.now()
        match message:
            case QuotaCharges(start, number, charges):
                answers = self._quotas.answer(Sender(peer, start, number), charges, now)
                return QuotaAnswers(number, answers)
            case HandedBalances(balances):
                self._quotas.accept(balances, now)
                return None
            case _:
                raise ValueError("type: unexpected message")
