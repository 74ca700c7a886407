"""Simulates a model engine in virtual time with the platform's published formulas.

The engine works in passes. A pass with calls in decoding runs ``stride`` token steps;
each step takes longer for every decoding call and its context. Prefill runs between
the steps in pieces of at most ``read_chunk`` tokens per step. A call whose prefill is
complete starts decoding in the same pass. Every decoding call emits one event per pass.
"""

from collections import deque

import msgspec

from tamaracktray.routes import EngineSpec


class EngineJob:
    """A call at an engine, with the prompt and output tokens left to process."""

    __slots__ = ("call_id", "context", "prompt_tokens_left", "output_tokens_left")

    def __init__(self, call_id: str, prompt_tokens: int, output_tokens: int) -> None:
        self.call_id = call_id
        self.prompt_tokens_left = prompt_tokens
        self.output_tokens_left = output_tokens
        self.context = prompt_tokens


class PassResult(msgspec.Struct, frozen=True):
    """Duration of one pass, calls that emitted an event, and completed calls."""

    duration_s: float
    progressed: list[str]
    finished: list[str]


class EngineModel:
    """State of one engine; pass durations are multiplied by ``slowdown``."""

    __slots__ = (
        "_jobs_by_id",
        "_queue",
        "_queue_limit",
        "_running",
        "_spec",
        "slowdown",
    )

    def __init__(
        self, spec: EngineSpec, queue_limit: int, slowdown: float = 1.0
    ) -> None:
        self._spec = spec
        self._queue_limit = queue_limit
        self._queue: deque[EngineJob] = deque()
        self._running: list[EngineJob] = []
        self._jobs_by_id: dict[str, EngineJob] = {}
        self.slowdown = slowdown

    @property
    def is_idle(self) -> bool:
        """Return whether the engine has no calls."""
        return not self._jobs_by_id

    def accept(self, job: EngineJob) -> bool:
        """Queue a call; return ``False`` if the queue is full."""
        if len(self._queue) >= self._queue_limit:
            return False
        self._jobs_by_id[job.call_id] = job
        self._queue.append(job)
        return True

    def drop(self, call_id: str) -> None:
        """Remove a call whose caller has disconnected."""
        job = self._jobs_by_id.pop(call_id, None)
        if job is None:
            return
        if job in self._running:
            self._running.remove(job)
            return
        self._queue.remove(job)

    def run_pass(self) -> PassResult:
        """Run one pass and return the results that are due at its end."""
        while self._queue and len(self._running) < self._spec.max_batch:
            self._running.append(self._queue.popleft())
        is_decoding = any(not job.prompt_tokens_left for job in self._running)
        duration_s = self._prefill(self._spec.stride if is_decoding else 1)
        decoding = [job for job in self._running if not job.prompt_tokens_left]
        steps = self._spec.stride if decoding else 0
        duration_s += steps * self._compute_step_s(decoding)
        finished: list[str] = []
        for job in decoding:
            generated = min(steps, job.output_tokens_left)
            job.output_tokens_left -= generated
            job.context += generated
            if not job.output_tokens_left:
                finished.append(job.call_id)
                self._running.remove(job)
                del self._jobs_by_id[job.call_id]
        progressed = [job.call_id for job in decoding]
        return PassResult(duration_s * self.slowdown, progressed, finished)

    def _prefill(self, steps: int) -> float:
        """Prefill prompts for one pass and return its duration in seconds."""
        budget = steps * self._spec.read_chunk
        duration_s = 0.0
        for job in self._running:
            tokens = min(job.prompt_tokens_left, budget)
            if not tokens:
                continue
            prefilled = job.context - job.prompt_tokens_left
            pairs = tokens * (prefilled + tokens / 2)
            duration_s += tokens / self._spec.read_tokens_s + pairs * self._spec.pair_s
            job.prompt_tokens_left -= tokens
            budget -= tokens
        return duration_s

    def _compute_step_s(self, decoding: list[EngineJob]) -> float:
        context = sum(job.context for job in decoding)
        return (
            self._spec.step_s
            + len(decoding) * self._spec.per_request_s
            + context * self._spec.per_context_token_s
        )
