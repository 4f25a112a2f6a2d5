"""An event loop in virtual time, which advances to the next timer without waiting: fast and deterministic."""

import asyncio
import contextvars
import selectors
from collections.abc import Callable, Coroutine, Generator
from typing import Any, Final, TypeVarTuple, Unpack

Args = TypeVarTuple('Args')

#: Simulated process of the running code; tasks inherit it.
current_process: contextvars.ContextVar[str] = contextvars.ContextVar('current_process', default='world')


class StalledError(RuntimeError):
    """All tasks wait and no timer is pending."""


class _VirtualTimeSelector(selectors.SelectSelector):
    """Advances virtual time instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        """:returns: An empty list, after time has advanced by the timeout."""
        if timeout is None:
            raise StalledError('all tasks wait and no timer is pending')
        self.now += max(timeout, 0)
        return []


def _process_of(context: contextvars.Context | None) -> str:
    return context.get(current_process, 'world') if context is not None else current_process.get()


class _Timer:
    """Calls back when due and its process is not frozen, unless cancelled by then."""

    def __init__(
        self,
        loop: 'VirtualLoop',
        process: str,
        callback: Callable[..., object],
        args: tuple[Any, ...],
        context: contextvars.Context | None,
    ) -> None:
        self.handle: asyncio.TimerHandle | None = None
        self._loop = loop
        self._process = process
        self._callback = callback
        self._args = args
        self._context = context

    def fire(self) -> None:
        """Call back now, or when the process resumes."""
        if self.handle is None or self.handle.cancelled():
            return
        # asyncio fires timers early by up to its clock's resolution; virtual time would then never reach the due time.
        self._loop.advance_to(self.handle.when())
        if self._loop.frozen_until(self._process) > self._loop.time():
            self._loop.call_soon(self.fire, context=self._context)
        else:
            self._callback(*self._args)


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop in virtual time that can freeze or kill the tasks of one simulated process."""

    def __init__(self) -> None:
        self._virtual_selector: Final = _VirtualTimeSelector()
        super().__init__(self._virtual_selector)
        self._tasks_by_process: dict[str, dict[asyncio.Task[Any], None]] = {}
        self._frozen_until_by_process: dict[str, float] = {}
        self.set_task_factory(self._make_task)

    def time(self) -> float:
        """:returns: Virtual time, in seconds."""
        return self._virtual_selector.now

    def advance_to(self, when: float) -> None:
        """Advance time to ``when``, unless it is past."""
        self._virtual_selector.now = max(self._virtual_selector.now, when)

    def freeze(self, process: str, for_s: float) -> None:
        """Freeze a process: its callbacks and timers run when it resumes, in the same order.

        :param process: The process.
        :param for_s: Duration, in seconds.
        """
        self._frozen_until_by_process[process] = self.time() + for_s

    def frozen_until(self, process: str) -> float:
        """:returns: When a frozen process resumes; a past time for any other."""
        return self._frozen_until_by_process.get(process, 0.0)

    def call_soon(
        self,
        callback: Callable[[Unpack[Args]], object],
        *args: Unpack[Args],
        context: contextvars.Context | None = None,
    ) -> asyncio.Handle:
        """:returns: The handle; the call of a frozen process is deferred until it resumes."""
        frozen_until = self.frozen_until(_process_of(context))
        if frozen_until > self.time():
            return self.call_at(frozen_until, callback, *args, context=context)
        return super().call_soon(callback, *args, context=context)

    def call_at(
        self,
        when: float,
        callback: Callable[[Unpack[Args]], object],
        *args: Unpack[Args],
        context: contextvars.Context | None = None,
    ) -> asyncio.TimerHandle:
        """:returns: The handle; a timer of a frozen process fires when it resumes."""
        timer = _Timer(self, _process_of(context), callback, args, context)
        timer.handle = super().call_at(when, timer.fire, context=context)
        return timer.handle

    def kill(self, process: str) -> None:
        """Cancel every task of a process, as SIGKILL ends it."""
        for task in tuple(self._tasks_by_process.pop(process, {})):
            task.cancel()

    def kill_all(self) -> None:
        """Cancel every task."""
        for process in tuple(self._tasks_by_process):
            self.kill(process)

    def _make_task(
        self,
        _loop: asyncio.AbstractEventLoop,
        step: Coroutine[Any, Any, Any] | Generator[Any, None, Any],
        context: contextvars.Context | None = None,
    ) -> asyncio.Task[Any]:
        task: asyncio.Task[Any] = asyncio.Task(step, loop=self, context=context)
        process = context.get(current_process, current_process.get()) if context is not None else current_process.get()
        tasks = self._tasks_by_process.setdefault(process, {})
        tasks[task] = None
        task.add_done_callback(lambda done: tasks.pop(done, None))
        return task
