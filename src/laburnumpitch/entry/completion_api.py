"""Parses OpenAI-style completion requests and encodes OpenAI-style answers."""

from __future__ import annotations

import time
from dataclasses import dataclass
from typing import Annotated, Any, Literal

import msgspec

from ..errors import MalformedRequestError, TooLargeError

MAX_PROMPT_CHARS = 4 * 1024 * 1024
"""Maximum length of a prompt."""

DEFAULT_MAX_TOKENS = 64
"""Length of an answer if the request has no `max_tokens`."""

CHAT_PATH = "/v1/chat/completions"
COMPLETION_PATH = "/v1/completions"

MaxTokens = Annotated[int, msgspec.Meta(ge=1, le=16384)]


class ChatMessage(msgspec.Struct, frozen=True):
    """One message of a conversation."""

    role: Literal["system", "user", "assistant"]
    content: str


class ChatBody(msgspec.Struct, frozen=True):
    """Body of `POST /v1/chat/completions`; unknown fields are ignored."""

    model: str
    messages: Annotated[list[ChatMessage], msgspec.Meta(min_length=1)]
    max_tokens: MaxTokens = DEFAULT_MAX_TOKENS
    stream: bool = False


class CompletionBody(msgspec.Struct, frozen=True):
    """Body of `POST /v1/completions`; unknown fields are ignored."""

    model: str
    prompt: str
    max_tokens: MaxTokens = DEFAULT_MAX_TOKENS
    stream: bool = False


@dataclass(frozen=True)
class CompletionRequest:
    """A parsed request for a completion."""

    model: str
    prompt: str
    max_tokens: int
    is_streamed: bool
    is_chat: bool


def render_chat_prompt(messages: list[ChatMessage]) -> str:
    """Return a conversation as one prompt."""
    lines = [f"<{item.role}>\n{item.content}\n" for item in messages]
    return "".join(lines) + "<assistant>\n"


def parse_completion(path: str, body: bytes) -> CompletionRequest:
    """Parse and validate the body of a completion request.

    Raises:
        MalformedRequestError: If a field is missing or invalid; the detail has
            the path to it.
        TooLargeError: If the prompt is longer than `MAX_PROMPT_CHARS`.
    """
    is_chat = path == CHAT_PATH
    try:
        if is_chat:
            chat = msgspec.json.decode(body, type=ChatBody)
            prompt, parsed = render_chat_prompt(chat.messages), chat
        else:
            completion = msgspec.json.decode(body, type=CompletionBody)
            prompt, parsed = completion.prompt, completion
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise MalformedRequestError(str(error)) from error
    if len(prompt) > MAX_PROMPT_CHARS:
        raise TooLargeError(f"the prompt is longer than {MAX_PROMPT_CHARS} characters")
    return CompletionRequest(
        parsed.model, prompt, parsed.max_tokens, parsed.stream, is_chat
    )


class CompletionEncoder:
    """Encodes the answer to one request, as one body or as a stream.

    Args:
        request_id: Identifier of the request.
        request: The request.
    """

    def __init__(self, request_id: str, request: CompletionRequest) -> None:
        self.request_id = request_id
        self.request = request
        self.created = int(time.time())

    def make_chunk(self, text: str, finish_reason: str | None = None) -> bytes:
        """Return one server-sent event with a part of the text."""
        if self.request.is_chat:
            delta = {"content": text} if text else {}
            choice: dict[str, Any] = {"index": 0, "delta": delta}
            kind = "chat.completion.chunk"
        else:
            choice = {"index": 0, "text": text}
            kind = "text_completion"
        choice["finish_reason"] = finish_reason
        return format_sse_event(self.make_answer_body(kind, [choice]))

    def make_answer(self, text: str, prompt_tokens: int, tokens: int) -> bytes:
        """Return the body of an answer that is not streamed."""
        if self.request.is_chat:
            message = {"role": "assistant", "content": text}
            choice: dict[str, Any] = {"index": 0, "message": message}
            kind = "chat.completion"
        else:
            choice = {"index": 0, "text": text}
            kind = "text_completion"
        choice["finish_reason"] = "length"
        body = self.make_answer_body(kind, [choice])
        body["usage"] = {
            "prompt_tokens": prompt_tokens,
            "completion_tokens": tokens,
            "total_tokens": prompt_tokens + tokens,
        }
        return msgspec.json.encode(body)

    def make_answer_body(
        self, kind: str, choices: list[dict[str, Any]]
    ) -> dict[str, Any]:
        """Return a body with the fields that all answers share."""
        return {
            "id": self.request_id,
            "object": kind,
            "created": self.created,
            "model": self.request.model,
            "choices": choices,
        }


def format_sse_event(body: Any) -> bytes:
    """Return a body encoded as a server-sent event."""
    return b"data: " + msgspec.json.encode(body) + b"\n\n"


DONE_EVENT = b"data: [DONE]\n\n"
"""Last event of a complete stream."""
