"""What a call costs an engine, from the engine's published performance model."""

from tamaracktray.calls import Call
from tamaracktray.routes import EngineSpec

# How much longer a call runs than alone on an engine that reads the prompts of others
# in between; about the share of its time that a full engine reads.
SHARING_FACTOR = 1.4


def estimate_step(engine: EngineSpec) -> float:
    """Return the time of one token step with a full batch, in seconds."""
    context = engine.usual_prompt + engine.usual_answer / 2
    per_call = engine.per_request_s + context * engine.per_context_token_s
    return engine.step_s + engine.max_batch * per_call


def estimate_reading(call: Call, engine: EngineSpec) -> float:
    """Return the time in which the engine reads the prompt, in seconds."""
    tokens = call.prompt_tokens
    if not engine.read_tokens_s:
        return 0.0
    return tokens / engine.read_tokens_s + tokens * tokens / 2 * engine.pair_s


def estimate_cost(call: Call, engine: EngineSpec) -> float:
    """Return the part of the engine's time that the call takes up, in seconds.

    Reading takes the whole engine; a writing call takes one place of the batch.
    """
    tokens = call.output_tokens or engine.usual_answer
    writing = tokens * estimate_step(engine) / max(engine.max_batch, 1)
    return estimate_reading(call, engine) + writing


def estimate_duration(call: Call, engine: EngineSpec) -> float:
    """Return how long the call runs at a busy engine, in seconds."""
    tokens = call.output_tokens or engine.usual_answer
    writing = tokens * estimate_step(engine) * SHARING_FACTOR
    return estimate_reading(call, engine) + writing
