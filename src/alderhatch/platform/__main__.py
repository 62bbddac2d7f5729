"""Starts the node on the platform's machines: ``python -m alderhatch.platform``."""

import gc
import signal
import sys

# By default SIGHUP ends the process, and it may arrive before the program watches its settings, for
# example while modules are being loaded, which takes a third of a second. It can be ignored until
# then, because the settings are read after the modules are loaded. This module is run and never
# imported, so programs of other tests and tools keep their own signal handling.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

# All objects that are created while modules are loaded live as long as the process, so garbage
# collections in that phase free nothing. They would only delay the start, and after a restart of
# all hosts callers wait for it.
gc.disable()

from .program import main  # noqa: E402

gc.freeze()
gc.enable()

sys.exit(main())
