"""Cost estimates for calls, from an engine's published performance model."""

from tamaracktray.calls import Call
from tamaracktray.routes import EngineSpec

# Factor by which the prefill of other prompts slows the decoding of a call; derived
# from the share of its time that a full engine spends on prefill.
PREFILL_SLOWDOWN = 1.4


def estimate_decode_step(engine: EngineSpec) -> float:
    """Return the time of one decode step with a full batch, in seconds."""
    context = engine.usual_prompt + engine.usual_answer / 2
    per_call = engine.per_request_s + context * engine.per_context_token_s
    return engine.step_s + engine.max_batch * per_call


def estimate_prefill(call: Call, engine: EngineSpec) -> float:
    """Return the prefill time of the call's prompt, in seconds."""
    tokens = call.prompt_tokens
    if not engine.read_tokens_s:
        return 0.0
    return tokens / engine.read_tokens_s + tokens * tokens / 2 * engine.pair_s


def estimate_cost(call: Call, engine: EngineSpec) -> float:
    """Return the engine time that the call takes, in seconds.

    Prefill occupies the whole engine; decoding occupies one slot of the batch.
    """
    tokens = call.output_tokens or engine.usual_answer
    decode_s = tokens * estimate_decode_step(engine) / max(engine.max_batch, 1)
    return estimate_prefill(call, engine) + decode_s


def estimate_duration(call: Call, engine: EngineSpec) -> float:
    """Return the duration of the call on a busy engine, in seconds."""
    tokens = call.output_tokens or engine.usual_answer
    decode_s = tokens * estimate_decode_step(engine) * PREFILL_SLOWDOWN
    return estimate_prefill(call, engine) + decode_s
