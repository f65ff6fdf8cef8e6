"""A pool of worker threads that grows with the work and shrinks when it is idle.

The server's own pool starts all its threads at once and keeps them.
"""

import queue
import threading

from cheroot.workers.threadpool import _SHUTDOWNREQUEST, ThreadPool

IDLE_SECONDS = 5.0
"""Time without work after which a thread ends."""


class WorkerPool(ThreadPool):
    """Threads of one server, each of which serves one connection at a time.

    A thread is added only if every other one has work, so that an idle server holds
    ``min`` threads and a busy one as many as it has connections with work, up to
    ``max``. Further connections wait in a queue.
    """

    def __init__(self, server, *, minimum: int, maximum: int):
        """Create a pool without threads.

        Args:
            server: The server whose connections are served.
            minimum: Number of threads that are kept while there is no work.
            maximum: Number of threads above which no thread is added.
        """
        super().__init__(server, min=minimum, max=maximum)
        self.get = self._take
        self._lock = threading.Lock()
        self._unfinished = 0
        self._occupied_threads: set[int] = set()

    def count_threads(self) -> int:
        """Return the number of threads."""
        return len(self._threads)

    def put(self, obj) -> None:
        """Queue a connection, and add a thread if all the others have work.

        Args:
            obj: The connection.
        """
        with self._lock:
            self._unfinished += 1
            self._queue.put(obj)
            if len(self._threads) < min(self._unfinished, self.max):
                self._threads.append(self._spawn_worker())

    def grow(self, amount: int) -> None:
        """Add threads, without waiting until they run; not above the maximum."""
        with self._lock:
            for _ in range(min(amount, self.max - len(self._threads))):
                self._threads.append(self._spawn_worker())

    def _take(self):
        """Return the next connection, or the request to end after a long idle time."""
        thread_id = threading.get_ident()
        with self._lock:
            if thread_id in self._occupied_threads:
                self._occupied_threads.remove(thread_id)
                self._unfinished -= 1
        while True:
            try:
                item = self._queue.get(timeout=IDLE_SECONDS)
            except queue.Empty:
                # Ignored: time without work is no error.
                if self._retire_thread():
                    return _SHUTDOWNREQUEST
                continue
            if item is not _SHUTDOWNREQUEST:
                with self._lock:
                    self._occupied_threads.add(thread_id)
            return item

    def _retire_thread(self) -> bool:
        """Remove the calling thread from the pool if it is not needed."""
        with self._lock:
            needed = max(self.min, self._unfinished)
            if len(self._threads) <= needed:
                return False
            thread = threading.current_thread()
            self._threads.remove(thread)
            self.server.stats["Worker Threads"].pop(thread.name, None)
            return True
