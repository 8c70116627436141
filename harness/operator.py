"""Client for operator requests to a running cluster."""

from __future__ import annotations

import asyncio
import itertools
import uuid

import msgspec

from laburnumpitch.control.document import split_sections
from laburnumpitch.errors import LaburnumpitchError
from laburnumpitch.transport.http_client import HttpClient

CALL_TIMEOUT_S = 75.0
"""Time to the first byte of an answer."""

MAX_TRIES = 60
"""Number of times that a request is sent while the system is unavailable."""

RETRY_INTERVAL_S = 0.25


class OperatorError(Exception):
    """The system refused an operator's request."""

    def __init__(self, status: int, code: str, detail: str) -> None:
        super().__init__(f"{status} {code}: {detail}")
        self.code = code
        self.detail = detail


class Operator:
    """Sends an operator's requests to the entries in turn.

    Args:
        entries: `host:port` of the entries.
        key: The operator's key.
        name: The operator's name.
    """

    def __init__(self, entries: list[str], key: str, name: str = "root") -> None:
        self.entries = itertools.cycle(entries)
        self.headers = [
            ("content-type", "application/json"),
            ("x-operator", name),
            ("authorization", f"Bearer {key}"),
        ]

    async def send(self, action: str, body: object, entry: str = "") -> object:
        """Send one request.

        Raises:
            OperatorError: If the request is refused.
            LaburnumpitchError: If there is no answer.
        """
        client = HttpClient(entry or next(self.entries))
        try:
            answer = await client.request(
                "POST",
                f"/operator/{action}",
                self.headers,
                msgspec.json.encode(body),
                first_byte_timeout_s=CALL_TIMEOUT_S,
            )
            data = msgspec.json.decode(await answer.read())
        finally:
            client.close()
        if answer.status != 200:
            failure = data["error"]
            raise OperatorError(answer.status, failure["code"], failure["message"])
        return data

    def call(self, action: str, body: object) -> object:
        """Run `call_with_retries` in an event loop of its own."""
        return asyncio.run(self.call_with_retries(action, body))

    async def call_with_retries(self, action: str, body: object) -> object:
        """Send a request, with retries while the system is unavailable.

        Raises:
            OperatorError: If the request is refused for another reason.
            TimeoutError: If no try gets an answer.
        """
        for attempt in range(MAX_TRIES):
            try:
                return await self.send(action, body)
            except LaburnumpitchError:
                pass
            except OperatorError as error:
                if error.code not in ("control_unavailable", "draining", "no_lease"):
                    raise
            await asyncio.sleep(RETRY_INTERVAL_S)
        raise TimeoutError(f"no answer to {action}")

    async def apply_with_retries(self, text: str, change_id: str = "") -> dict:
        """Apply the sections of a text, with retries, and return the answer."""
        current = await self.call_with_retries("get", {})
        versions = {item["name"]: item["version"] for item in current["sections"]}
        sections = [
            {"name": name, "base_version": versions.get(name, 0), "text": body}
            for name, body in split_sections(text).items()
        ]
        body = {"change_id": change_id or uuid.uuid4().hex, "sections": sections}
        return await self.call_with_retries("apply", body)

    def apply(self, text: str) -> int:
        """Apply the sections of a text and wait until they are in force.

        Returns:
            The new revision.

        Raises:
            OperatorError: If the change is refused.
            TimeoutError: If it is not in force in time.
        """
        result = asyncio.run(self.apply_with_retries(text))
        if result["error_code"]:
            raise OperatorError(200, result["error_code"], result["detail"])
        body = {"revision": result["revision"], "timeout_s": 20}
        wait_result = self.call("wait", body)
        if wait_result["lagging"]:
            raise TimeoutError(f"not in force on {wait_result['lagging']}")
        return result["revision"]


def is_ready(address: str) -> bool:
    """Whether an entry reports that it is ready for requests."""

    async def request_readiness() -> bool:
        client = HttpClient(address)
        try:
            answer = await client.request(
                "GET", "/readyz", [], b"", first_byte_timeout_s=2.0
            )
            await answer.read()
            return answer.status == 200
        except LaburnumpitchError:
            return False
        finally:
            client.close()

    return asyncio.run(request_readiness())
