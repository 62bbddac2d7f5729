"""A trio loop in a thread of its own, for what steps share over a scenario."""

from __future__ import annotations

import threading

import trio


class LoopThread:
    """Runs a loop until closed; ``nursery`` holds its tasks."""

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
        """Run one coroutine function in the loop, from another thread; return its value."""
        return trio.from_thread.run(function, *args, trio_token=self._token)

    def close(self):
        """Cancel all tasks and wait for the end of the loop."""
        self._token.run_sync_soon(self.nursery.cancel_scope.cancel)
        self._thread.join()
