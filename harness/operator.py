"""An operator of a running cluster, for tests."""

from __future__ import annotations

import asyncio
import itertools
import uuid

import msgspec

from laburnumpitch.control.document import split_sections
from laburnumpitch.errors import LaburnumpitchError
from laburnumpitch.transport.http_client import HttpClient

CALL_TIMEOUT_S = 75.0
MAX_TRIES = 60
RETRY_INTERVAL_S = 0.25


class OperatorError(Exception):
    """The system refused an operator's request."""

    def __init__(self, status: int, code: str, detail: str) -> None:
        super().__init__(f"{status} {code}: {detail}")
        self.code = code
        self.detail = detail


class Operator:
    """Sends an operator's requests to one entry after the other.

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
            OperatorError: If it is refused.
            LaburnumpitchError: If it gets no answer.
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
        """Send a request until it has an answer."""
        return asyncio.run(self.call_with_retries(action, body))

    async def call_with_retries(self, action: str, body: object) -> object:
        """Send a request until it has an answer."""
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
        """Change the sections of a text, and return the first answer."""
        current = await self.call_with_retries("get", {})
        versions = {item["name"]: item["version"] for item in current["sections"]}
        sections = [
            {"name": name, "base_version": versions.get(name, 0), "text": body}
            for name, body in split_sections(text).items()
        ]
        body = {"change_id": change_id or uuid.uuid4().hex, "sections": sections}
        return await self.call_with_retries("apply", body)

    def apply(self, text: str) -> int:
        """Change the sections of a text and wait until they are in force."""
        result = asyncio.run(self.apply_with_retries(text))
        if result["error_code"]:
            raise OperatorError(200, result["error_code"], result["detail"])
        body = {"revision": result["revision"], "timeout_s": 20}
        wait_result = self.call("wait", body)
        if wait_result["lagging"]:
            raise TimeoutError(f"not in force on {wait_result['lagging']}")
        return result["revision"]


def is_ready(address: str) -> bool:
    """Whether an entry takes requests."""

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
