"""Background tasks whose failures are logged."""

import asyncio

from hyssopshelf import logs


class TaskSet:
    """Tasks that run until they end or are cancelled together.

    Parameters
    ----------
    on_failure : callable or None
        Takes the exception of a task that failed, after it was logged.
    """

    def __init__(self, *, on_failure=None) -> None:
        self.on_failure = on_failure
        self._tasks: set[asyncio.Task] = set()

    def start(self, work) -> asyncio.Task:
        """Run a coroutine as a task of this set."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._on_done)
        return task

    def cancel(self) -> None:
        """Cancel all tasks."""
        for task in self._tasks:
            task.cancel()

    def _on_done(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if task.cancelled() or task.exception() is None:
            return
        log_failure(task.get_coro(), task.exception())
        if self.on_failure is not None:
            self.on_failure(task.exception())


async def run_repeatedly(make_work, pause_seconds: float) -> None:
    """Run a coroutine and start it again after an unexpected error.

    Parameters
    ----------
    make_work : callable
        Returns the coroutine.
    pause_seconds : float
        Pause before it is started again, in seconds.
    """
    while True:
        work = make_work()
        try:
            await work
            return
        except Exception as error:
            log_failure(work, error)
        await asyncio.sleep(pause_seconds)


def call_logged(function, *arguments) -> None:
    """Call a function; an exception is logged and goes no further."""
    try:
        function(*arguments)
    except Exception as error:
        log_failure(function, error)


async def wait_logged(work):
    """Return the result of a coroutine, None if it failed, which is logged."""
    try:
        return await work
    except Exception as error:
        log_failure(work, error)
        return None


def log_failure(work, error: BaseException) -> None:
    """Log that a coroutine failed."""
    name = getattr(work, "__qualname__", repr(work))
    logs.write(logs.LogEvent.TASK_FAILED, {"task": name, "error": repr(error)})
