"""Starts the node on the platform's machines: ``python -m alderhatch.platform``."""

import gc
import signal
import sys

# Until the program watches its settings, SIGHUP would end it; and it may come at any moment, also
# while the modules are still being loaded, which takes a third of a second. The settings are read
# after that, so nothing is missed. The programs of other tests and tools keep their own handling,
# as only this module is run and never imported.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

# Loading the modules makes objects that all stay. Collections in between find nothing to free, and
# after a restart of all hosts callers wait for each millisecond of it.
gc.disable()

from .program import main  # noqa: E402

gc.freeze()
gc.enable()

sys.exit(main())
