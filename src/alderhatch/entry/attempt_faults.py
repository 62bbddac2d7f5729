"""Maps faults of HTTP exchanges to faults of attempts."""

from __future__ import annotations

from ..core.entry_events import AttemptFault
from ..http.exchange import ExchangeFault

ATTEMPT_FAULTS = {
    ExchangeFault.NOT_SENT: AttemptFault.NOT_SENT,
    ExchangeFault.LOST: AttemptFault.LOST,
    ExchangeFault.SILENT: AttemptFault.SILENT,
    ExchangeFault.GARBAGE: AttemptFault.GARBAGE,
}
"""The attempt fault for each exchange fault."""
