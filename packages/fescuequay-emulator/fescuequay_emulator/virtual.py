"""An event loop whose time jumps to the next timer, so that minutes pass in seconds and every run repeats."""

import asyncio
import contextvars
import selectors
from collections.abc import Coroutine, Generator
from typing import Any, Final

#: Process that the running code belongs to in the model; tasks inherit it.
owner: contextvars.ContextVar[str] = contextvars.ContextVar('owner', default='world')


class StalledError(RuntimeError):
    """Everything waits and no timer is set."""


class _JumpingSelector(selectors.SelectSelector):
    """Lets time pass instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        """:returns: Nothing; the time has passed."""
        if timeout is None:
            raise StalledError('nothing is left to happen')
        self.now += max(timeout, 0)
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """A loop in virtual time that knows which task belongs to which process."""

    def __init__(self) -> None:
        self._jumping: Final = _JumpingSelector()
        super().__init__(self._jumping)
        self._tasks_by_owner: dict[str, dict[asyncio.Task[Any], None]] = {}
        self.set_task_factory(self._make_task)

    def time(self) -> float:
        """:returns: Virtual time, in seconds."""
        return self._jumping.now

    def kill(self, name: str) -> None:
        """Cancel every task of a process, as SIGKILL ends it."""
        for task in tuple(self._tasks_by_owner.pop(name, {})):
            task.cancel()

    def kill_all(self) -> None:
        """Cancel every task."""
        for name in tuple(self._tasks_by_owner):
            self.kill(name)

    def _make_task(
        self,
        _loop: asyncio.AbstractEventLoop,
        step: Coroutine[Any, Any, Any] | Generator[Any, None, Any],
        context: contextvars.Context | None = None,
    ) -> asyncio.Task[Any]:
        task: asyncio.Task[Any] = asyncio.Task(step, loop=self, context=context)
        name = context.get(owner, owner.get()) if context is not None else owner.get()
        tasks = self._tasks_by_owner.setdefault(name, {})
        tasks[task] = None
        task.add_done_callback(lambda done: tasks.pop(done, None))
        return task
