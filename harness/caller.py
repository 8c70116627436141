"""Client of a running cluster for tests, the demo and benchmarks."""

from __future__ import annotations

import time
from dataclasses import dataclass

import msgspec

from laburnumpitch.errors import LaburnumpitchError, TargetError
from laburnumpitch.transport.http_client import (
    MAX_IDLE_S,
    HttpClient,
    HttpClientPool,
)
from standins.kv import compute_expected_answer

from .deployment import Deployment, get_api_key

ANSWER_TIMEOUT_S = 90.0
"""Time to the first byte of an answer."""


@dataclass
class Answer:
    """Answer that a caller received, or its failure."""

    status: int = 0
    """HTTP status; 0 without an answer."""
    text: str = ""
    is_complete: bool = False
    first_token_s: float = 0.0
    total_s: float = 0.0
    code: str = ""
    """Error code of a failure."""
    run: str = ""
    """Whether the request has run, as a failure reports it.

    Without an answer it is `unknown`, or `not_run` if the request was not sent.
    """
    body: bytes = b""

    @property
    def is_refused(self) -> bool:
        """Whether the request was refused and did not run."""
        return self.run == "not_run"


class Caller:
    """Sends requests of one organisation.

    Args:
        deployment: The deployment to call.
        organisation: Name of the organisation.
        http: Pool of kept connections; if None, each request opens its own.
    """

    def __init__(
        self,
        deployment: Deployment,
        organisation: str,
        http: HttpClientPool | None = None,
    ) -> None:
        self.deployment = deployment
        self.organisation = organisation
        self.http = http
        self.authorization = ("authorization", f"Bearer {get_api_key(organisation)}")

    def get_client(self, address: str) -> HttpClient:
        """Return a client for an address."""
        return self.http.get(address) if self.http else HttpClient(address)

    async def send_completion(
        self, address: str, prompt: str, max_tokens: int = 16, deadline_ms: int = 60000
    ) -> Answer:
        """Send a streamed completion and read its answer."""
        body = {
            "model": self.deployment.model,
            "prompt": prompt,
            "max_tokens": max_tokens,
            "stream": True,
        }
        headers = [
            self.authorization,
            ("content-type", "application/json"),
            ("x-deadline-ms", str(deadline_ms)),
        ]
        answer = Answer()
        started_s = time.monotonic()
        client = self.get_client(address)
        try:
            response = await client.request(
                "POST",
                "/v1/completions",
                headers,
                msgspec.json.encode(body),
                first_byte_timeout_s=ANSWER_TIMEOUT_S,
                gap_timeout_s=30.0,
                max_idle_s=0.0 if self.http is None else MAX_IDLE_S,
            )
            answer.status = response.status
            try:
                rest = b""
                async for part in response.iterate_body():
                    *events, rest = (rest + part).split(b"\n\n")
                    for event in events:
                        self.apply_event(answer, event, started_s)
                if answer.status != 200:
                    self.apply_failure(answer, rest)
            finally:
                response.close()
        except LaburnumpitchError as error:
            is_sent = not isinstance(error, TargetError) or error.sent
            answer.is_complete = False
            answer.code = answer.code or "no_answer"
            answer.run = "unknown" if is_sent else "not_run"
        finally:
            if self.http is None:
                client.close()
        answer.total_s = time.monotonic() - started_s
        return answer

    def apply_event(self, answer: Answer, event: bytes, started_s: float) -> None:
        """Add a server-sent event of the stream to the answer."""
        data = event.removeprefix(b"data: ")
        if data == b"[DONE]":
            answer.is_complete = True
            return
        item = msgspec.json.decode(data)
        if "error" in item:
            answer.code = item["error"]["code"]
            answer.run = item["error"]["run"]
            answer.body = data
            return
        text = item["choices"][0]["text"]
        if text and not answer.text:
            answer.first_token_s = time.monotonic() - started_s
        answer.text += text

    def apply_failure(self, answer: Answer, data: bytes) -> None:
        """Set the answer's code and run from an error body."""
        answer.body = data
        failure = msgspec.json.decode(data)["error"]
        answer.code = failure["code"]
        answer.run = failure["run"]

    def get_expected_text(
        self, prompt: str, max_tokens: int = 16, version: str = "v1"
    ) -> str:
        """Return the text of the right answer to a prompt."""
        return compute_expected_answer(
            self.organisation,
            self.deployment.model,
            version,
            "",
            prompt,
            self.deployment.piece_chars,
            max_tokens,
        )

    async def send_order(self, address: str, key: str, item: str = "oil") -> Answer:
        """Send an order with an idempotency key."""
        return await self.call_service(
            address, "POST", "/orders", {"item": item}, [("idempotency-key", key)]
        )

    async def call_service(
        self,
        address: str,
        method: str,
        path: str,
        body: object = None,
        headers: list[tuple[str, str]] | None = None,
    ) -> Answer:
        """Call the deployment's service."""
        answer = Answer()
        started_s = time.monotonic()
        client = self.get_client(address)
        try:
            response = await client.request(
                method,
                f"/services/{self.deployment.service}{path}",
                [
                    self.authorization,
                    ("content-type", "application/json"),
                    *(headers or []),
                ],
                msgspec.json.encode(body) if body is not None else b"",
                first_byte_timeout_s=ANSWER_TIMEOUT_S,
                max_idle_s=0.0 if self.http is None else MAX_IDLE_S,
            )
            answer.status = response.status
            answer.body = await response.read()
            answer.is_complete = True
            data = msgspec.json.decode(answer.body)
            if response.status >= 400 and isinstance(data, dict) and "error" in data:
                answer.code = data["error"]["code"]
                answer.run = data["error"]["run"]
        except LaburnumpitchError as error:
            is_sent = not isinstance(error, TargetError) or error.sent
            answer.code = "no_answer"
            answer.run = "unknown" if is_sent else "not_run"
        finally:
            if self.http is None:
                client.close()
        answer.total_s = time.monotonic() - started_s
        return answer
