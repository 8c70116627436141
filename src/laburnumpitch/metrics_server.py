"""Serves a process's metrics over HTTP."""

from __future__ import annotations

from ._tasks import TASK_FAILURES
from .metrics import Metrics
from .transport.client_gate import ClientGate
from .transport.http_server import HttpRequest, HttpServer, Responder

RESPONSE_HEADERS = [("content-type", "text/plain; version=0.0.4")]


def make_metrics_server(
    host: str, port: int, metrics: Metrics, gate: ClientGate | None = None
) -> HttpServer:
    """Return a server that answers every request with the metrics."""

    async def handle(request: HttpRequest, responder: Responder) -> None:
        metrics.counters["task.failed"] = TASK_FAILURES.total
        metrics.set_gauge("client.held_bytes", server.gate.budget.held_bytes)
        await responder.send(200, RESPONSE_HEADERS, metrics.render())

    server = HttpServer(host, port, handle, gate=gate)
    return server
