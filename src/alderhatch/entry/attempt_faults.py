"""What a broken exchange means for an attempt."""

from __future__ import annotations

from ..core.entry_events import AttemptFault
from ..http.exchange import ExchangeFault

ATTEMPT_FAULTS = {
    ExchangeFault.NOT_SENT: AttemptFault.NOT_SENT,
    ExchangeFault.LOST: AttemptFault.LOST,
    ExchangeFault.SILENT: AttemptFault.SILENT,
    ExchangeFault.GARBAGE: AttemptFault.GARBAGE,
}
"""By the fault of its exchange."""
