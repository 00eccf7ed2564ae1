"""Response bodies in the format of the OpenAI API."""

import msgspec

from sassafraspin.standins.jobs import Job

__all__ = ["token_text", "chunk_document", "completion_document"]


class _Usage(msgspec.Struct):
    prompt_tokens: int
    completion_tokens: int
    total_tokens: int


def token_text(job: Job, number: int) -> str:
    """Return the text of one token.

    It contains the end of the request ID, so that a load generator can verify that the
    answer belongs to its request.
    """
    prefix = "" if number == 0 else " "
    return f"{prefix}{job.request_id[-6:]}.{number}"


def chunk_document(job: Job, text: str, finish_reason: str | None) -> str:
    """Return one chunk of a streamed answer as JSON."""
    if job.chat:
        choice = {"index": 0, "delta": {"role": "assistant", "content": text}}
        kind = "chat.completion.chunk"
    else:
        choice = {"index": 0, "text": text}
        kind = "text_completion"
    choice["finish_reason"] = finish_reason
    return _encode(job, kind, choice, None)


def completion_document(job: Job, text: str, prompt_tokens: int) -> bytes:
    """Return a complete, unstreamed answer as JSON."""
    if job.chat:
        choice = {"index": 0, "message": {"role": "assistant", "content": text}}
        kind = "chat.completion"
    else:
        choice = {"index": 0, "text": text}
        kind = "text_completion"
    choice["finish_reason"] = "stop"
    total = prompt_tokens + job.answer_tokens
    usage = _Usage(prompt_tokens, job.answer_tokens, total)
    return _encode(job, kind, choice, usage).encode()


def _encode(job: Job, kind: str, choice: dict, usage: _Usage | None) -> str:
    document = {
        "id": job.request_id,
        "object": kind,
        "created": 0,
        "model": job.model,
        "choices": [choice],
    }
    if usage is not None:
        document["usage"] = usage
    return msgspec.json.encode(document).decode()
