"""A trio event loop in a separate thread, for tasks that outlive one step."""

from __future__ import annotations

import threading

import trio


class LoopThread:
    """Runs an event loop until closed; ``nursery`` holds its tasks."""

    def __init__(self):
        self._ready = threading.Event()
        self._thread = threading.Thread(target=trio.run, args=(self._main,))
        self._thread.start()
        self._ready.wait()

    async def _main(self):
        async with trio.open_nursery() as nursery:
            self.nursery = nursery
            self._token = trio.lowlevel.current_trio_token()
            self._ready.set()
            await trio.sleep_forever()

    def call(self, function, *args):
        """Run an async function in the loop from another thread; return its result."""
        return trio.from_thread.run(function, *args, trio_token=self._token)

    def close(self):
        """Cancel all tasks and wait until the loop has ended."""
        self._token.run_sync_soon(self.nursery.cancel_scope.cancel)
        self._thread.join()
