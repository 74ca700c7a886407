"""A model engine in virtual time, after the platform's published formulas.

The engine works in passes. A pass with writing calls runs ``stride`` token steps, each
slowed by every writing call and its context; prompts are read between the steps, a
piece of at most ``read_chunk`` tokens a step, and a call whose prompt has been read
writes in the same pass. Every writing call passes on one event a pass.
"""

from collections import deque

import msgspec

from tamaracktray.routes import EngineSpec


class EngineJob:
    """A call at an engine; token counts go down as it is read and written."""

    __slots__ = ("call_id", "context", "to_read", "to_write")

    def __init__(self, call_id: str, prompt_tokens: int, output_tokens: int) -> None:
        self.call_id = call_id
        self.to_read = prompt_tokens
        self.to_write = output_tokens
        self.context = prompt_tokens


class PassResult(msgspec.Struct, frozen=True):
    """What one pass brought: calls with an event, and calls that are done."""

    duration_s: float
    progressed: list[str]
    finished: list[str]


class EngineModel:
    """The state of one engine; ``pace`` above 1 makes every pass slower."""

    __slots__ = ("_by_id", "_queue", "_queue_limit", "_running", "_spec", "pace")

    def __init__(self, spec: EngineSpec, queue_limit: int, pace: float = 1.0) -> None:
        self._spec = spec
        self._queue_limit = queue_limit
        self._queue: deque[EngineJob] = deque()
        self._running: list[EngineJob] = []
        self._by_id: dict[str, EngineJob] = {}
        self.pace = pace

    @property
    def is_idle(self) -> bool:
        """Tell whether there is nothing to do."""
        return not self._by_id

    def accept(self, job: EngineJob) -> bool:
        """Take a call in; return whether there was room for it."""
        if len(self._queue) >= self._queue_limit:
            return False
        self._by_id[job.call_id] = job
        self._queue.append(job)
        return True

    def drop(self, call_id: str) -> None:
        """Forget a call whose caller is gone."""
        job = self._by_id.pop(call_id, None)
        if job is None:
            return
        if job in self._running:
            self._running.remove(job)
            return
        self._queue.remove(job)

    def run_pass(self) -> PassResult:
        """Work for one pass; the results come at its end."""
        while self._queue and len(self._running) < self._spec.max_batch:
            self._running.append(self._queue.popleft())
        is_writing = any(not job.to_read for job in self._running)
        duration_s = self._read(self._spec.stride if is_writing else 1)
        writing = [job for job in self._running if not job.to_read]
        steps = self._spec.stride if writing else 0
        duration_s += steps * self._time_step(writing)
        finished: list[str] = []
        for job in writing:
            written = min(steps, job.to_write)
            job.to_write -= written
            job.context += written
            if not job.to_write:
                finished.append(job.call_id)
                self._running.remove(job)
                del self._by_id[job.call_id]
        progressed = [job.call_id for job in writing]
        return PassResult(duration_s * self.pace, progressed, finished)

    def _read(self, steps: int) -> float:
        """Read prompts for one pass and return the time that this takes."""
        budget = steps * self._spec.read_chunk
        duration_s = 0.0
        for job in self._running:
            tokens = min(job.to_read, budget)
            if not tokens:
                continue
            read_before = job.context - job.to_read
            pairs = tokens * (read_before + tokens / 2)
            duration_s += tokens / self._spec.read_tokens_s + pairs * self._spec.pair_s
            job.to_read -= tokens
            budget -= tokens
        return duration_s

    def _time_step(self, writing: list[EngineJob]) -> float:
        context = sum(job.context for job in writing)
        return (
            self._spec.step_s
            + len(writing) * self._spec.per_request_s
            + context * self._spec.per_context_token_s
        )
