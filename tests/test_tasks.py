"""Background tasks that meet unexpected errors."""

from __future__ import annotations

import asyncio
import io

import structlog
import testtools

from laburnumpitch import _tasks
from laburnumpitch._tasks import (
    LOG_INTERVAL_S,
    TaskFailures,
    contain_errors,
    start_loop,
    start_task,
)
from laburnumpitch.logging import configure_logging
from laburnumpitch.metrics import Metrics
from laburnumpitch.metrics_server import make_metrics_server
from laburnumpitch.transport.http_client import HttpClient

WAIT_S = 15.0
"""Time limit for an event; far longer than it takes."""


class LoggedCase(testtools.TestCase):
    """Reads the log lines of a test."""

    def setUp(self) -> None:
        super().setUp()
        self.now_s = 0.0
        self.failures = TaskFailures(lambda: self.now_s)
        self.patch(_tasks, "TASK_FAILURES", self.failures)
        self.patch(_tasks, "RESTART_PAUSE_S", 0.0)
        self.stream = io.StringIO()
        self.addCleanup(structlog.reset_defaults)
        configure_logging("n1", stream=self.stream)

    def list_lines(self) -> list[str]:
        """Return the log lines of failed tasks."""
        lines = self.stream.getvalue().splitlines()
        return [line for line in lines if "event=task_failed" in line]


class FailureLogTest(LoggedCase):
    """Errors that are counted and logged at a limited rate."""

    def fail(self, name: str) -> None:
        """Let a part of a task fail."""
        with contain_errors(name):
            raise ValueError("odd")

    def test_one_traceback_for_many_errors(self) -> None:
        """The first error is logged; the next line states how many were omitted."""
        for _ in range(5):
            self.fail("a")
        self.assertEqual(1, len(self.list_lines()))
        self.assertIn("ValueError: odd", self.list_lines()[0])
        self.assertIn("Traceback", self.list_lines()[0])
        self.now_s = LOG_INTERVAL_S
        self.fail("a")
        self.assertEqual(2, len(self.list_lines()))
        self.assertIn("omitted=4", self.list_lines()[1])
        self.assertEqual({"a": 6}, self.failures.counts)

    def test_tasks_do_not_hide_each_other(self) -> None:
        """Each task's first error is logged."""
        self.fail("a")
        self.fail("b")
        self.assertEqual(2, len(self.list_lines()))
        self.assertEqual(2, self.failures.total)


class LoopTest(LoggedCase):
    """Loops that `start_loop` runs."""

    def test_goes_on_after_an_error(self) -> None:
        """A loop that fails runs again, with a log line."""
        runs = []

        async def run() -> None:
            runs.append(1)
            if len(runs) < 3:
                raise KeyError("odd")

        async def scenario() -> None:
            async with asyncio.timeout(WAIT_S):
                await start_loop("a", run)

        asyncio.run(scenario())
        self.assertEqual(3, len(runs))
        self.assertEqual({"a": 2}, self.failures.counts)
        self.assertEqual(1, len(self.list_lines()))

    def test_is_cancelled(self) -> None:
        """A cancellation ends a loop, also in the pause after an error."""

        async def run() -> None:
            raise KeyError("odd")

        async def scenario() -> None:
            self.patch(_tasks, "RESTART_PAUSE_S", 1000.0)
            task = start_loop("a", run)
            while not self.failures.total:
                await asyncio.sleep(0)
            task.cancel()
            async with asyncio.timeout(WAIT_S):
                await asyncio.wait([task])
            self.assertTrue(task.cancelled())

        asyncio.run(scenario())


class TaskTest(LoggedCase):
    """Tasks that run once."""

    def run_task(self, work, is_cancelled: bool) -> None:
        """Run a task until its end."""

        async def scenario() -> None:
            task = start_task("a", work())
            if is_cancelled:
                task.cancel()
            async with asyncio.timeout(WAIT_S):
                await asyncio.wait([task])
            await asyncio.sleep(0)

        asyncio.run(scenario())

    def test_error(self) -> None:
        """An error that nobody awaits is logged and counted."""

        async def work() -> None:
            raise KeyError("odd")

        self.run_task(work, False)
        self.assertIn("KeyError", self.list_lines()[0])
        self.assertEqual({"a": 1}, self.failures.counts)

    def test_cancelled(self) -> None:
        """A cancellation is no error."""

        async def work() -> None:
            await asyncio.sleep(WAIT_S)

        self.run_task(work, True)
        self.assertEqual({}, self.failures.counts)


class MetricTest(testtools.TestCase):
    """The number of errors in a process's metrics."""

    def test_errors_are_exported(self) -> None:
        """The metrics that operators fetch have the number of errors."""
        with contain_errors("metric_test"):
            raise ValueError("odd")

        async def scenario() -> bytes:
            server = make_metrics_server("127.0.0.1", 0, Metrics())
            await server.start()
            client = HttpClient(f"127.0.0.1:{server.port}")
            try:
                answer = await client.request(
                    "GET", "/metrics", [], b"", first_byte_timeout_s=WAIT_S
                )
                return await answer.read()
            finally:
                client.close()
                await server.close()

        text = asyncio.run(scenario())
        expected = f"laburnumpitch_task_failed_total {_tasks.TASK_FAILURES.total:.1f}"
        self.assertIn(expected.encode(), text)
        self.assertGreaterEqual(_tasks.TASK_FAILURES.total, 1)
