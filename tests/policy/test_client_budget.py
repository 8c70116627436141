"""The budget for what clients make a node hold, under clients that block it."""

from __future__ import annotations

from dataclasses import dataclass

import testtools

from laburnumpitch.policy.client_budget import (
    CONNECTION_BYTES,
    MB,
    MIN_PROGRESS_BYTES,
    MIN_WINDOW_BYTES,
    RESERVED_DESCRIPTORS,
    STALL_S,
    BudgetSizes,
    ClientBudget,
    Holding,
    make_sizes,
)

CHUNK = 64 * 1024
BODY_BYTES = 4 * MB
STEP_S = 0.25


class SizesTest(testtools.TestCase):
    """Sizes for machines of several sizes."""

    scenarios = [
        ("small", {"memory_mb": 128, "descriptors": 4100}),
        ("medium", {"memory_mb": 300, "descriptors": 4100}),
        ("few_descriptors", {"memory_mb": 300, "descriptors": 360}),
        ("too_few_descriptors", {"memory_mb": 128, "descriptors": 100}),
    ]

    def test_sizes_fit(self) -> None:
        """What is held, with all buffers, leaves half of the memory to the process."""
        sizes = make_sizes(self.memory_mb * MB, self.descriptors)
        budget = ClientBudget(sizes)
        for _ in range(sizes.max_connections):
            budget.open_connection()
        self.assertLess(budget.held_bytes, sizes.max_bytes)
        buffers = 3 * sizes.max_connections * budget.get_window_bytes()
        self.assertLessEqual(sizes.max_bytes + buffers, self.memory_mb * MB / 2)
        free = max(8, self.descriptors - RESERVED_DESCRIPTORS)
        self.assertLess(sizes.max_connections, free)
        self.assertLess(sizes.max_server_connections, sizes.max_connections)


@dataclass
class Upload:
    """A client that sends a body and may stop before its end."""

    holding: Holding
    stops_at: int
    sent_bytes: int = 0
    is_closed: bool = False

    @property
    def has_ended(self) -> bool:
        """Whether it sends nothing more."""
        return self.is_closed or self.sent_bytes >= self.stops_at


class Replay:
    """Uploads against one budget, in virtual time."""

    def __init__(self, sizes: BudgetSizes) -> None:
        self.budget = ClientBudget(sizes)
        self.now_s = 0.0
        self.peak_bytes = 0
        self.uploads: list[Upload] = []

    def add(self, stops_at: int) -> Upload:
        """Add a client."""
        upload = Upload(self.budget.open_connection(), stops_at)
        self.uploads.append(upload)
        return upload

    def step(self) -> None:
        """Let each client send for a moment, and close one if others wait."""
        for _ in range(BODY_BYTES // CHUNK):
            for upload in self.uploads:
                self.send_chunk(upload)
        self.now_s += STEP_S
        for upload in self.uploads:
            self.budget.record_progress(upload.holding, upload.sent_bytes, self.now_s)
        if any(upload.holding.is_waiting for upload in self.uploads):
            victim = self.budget.choose_victim(self.now_s, includes_small=False)
            for upload in self.uploads:
                if upload.holding is victim:
                    upload.is_closed = True
                    self.budget.close(victim)

    def send_chunk(self, upload: Upload) -> None:
        """Let a client send a chunk if there is room for it."""
        holding = upload.holding
        holding.is_waiting = False
        if upload.has_ended:
            return
        if not self.budget.may_grow(holding, CHUNK):
            holding.is_waiting = True
            return
        upload.sent_bytes += CHUNK
        self.budget.resize(holding, CONNECTION_BYTES + upload.sent_bytes)
        self.peak_bytes = max(self.peak_bytes, self.budget.held_bytes)


class StalledBodiesTest(testtools.TestCase):
    """Forty clients that send the largest body but for its end."""

    def test_others_get_through(self) -> None:
        """The budget is kept, small requests pass, and a whole body comes in."""
        replay = Replay(make_sizes(128 * MB, 4100))
        for _ in range(40):
            replay.add(BODY_BYTES - CHUNK)
        whole = replay.add(BODY_BYTES)
        small = replay.budget.open_connection()
        while whole.sent_bytes < BODY_BYTES and replay.now_s < 100 * STALL_S:
            replay.step()
            self.assertTrue(replay.budget.may_grow(small, MIN_PROGRESS_BYTES))
        self.assertEqual(BODY_BYTES, whole.sent_bytes)
        self.assertFalse(whole.is_closed)
        self.assertLessEqual(replay.peak_bytes, replay.budget.sizes.max_bytes)


class VictimTest(testtools.TestCase):
    """Which of some connections is closed."""

    def setUp(self) -> None:
        """Make connections that hold the same and have made no progress."""
        super().setUp()
        self.budget = ClientBudget(make_sizes(128 * MB))
        self.holdings = [self.budget.open_connection() for _ in range(4)]
        for holding in self.holdings:
            self.budget.resize(holding, MB)
            self.budget.record_progress(holding, 0, 0.0)

    def test_largest_is_closed(self) -> None:
        """The one that holds most is closed."""
        self.budget.resize(self.holdings[2], 2 * MB)
        self.assertIs(
            self.holdings[2], self.budget.choose_victim(STALL_S, includes_small=False)
        )

    def test_slow_reader_stays(self) -> None:
        """A client that takes its answer slowly is not closed."""
        now_s = 0.0
        slow, *others = self.holdings
        self.budget.resize(slow, 10 * MB)
        for taken in range(10):
            now_s += STALL_S / 2
            self.budget.record_progress(slow, taken * MIN_PROGRESS_BYTES, now_s)
            victim = self.budget.choose_victim(now_s, includes_small=False)
            self.assertIsNot(slow, victim)

    def test_single_bytes_are_no_progress(self) -> None:
        """A client that takes a byte now and then is closed."""
        for holding in self.holdings:
            self.budget.record_progress(holding, 1, STALL_S)
        self.assertIsNotNone(self.budget.choose_victim(STALL_S, includes_small=False))

    def test_claims_and_waits(self) -> None:
        """Requests that were read whole, and those that wait for room, stay."""
        for holding in self.holdings[:2]:
            holding.is_protected = True
        for holding in self.holdings[2:]:
            holding.is_waiting = True
        self.assertIsNone(self.budget.choose_victim(STALL_S, includes_small=True))

    def test_idle_ones_only_for_connections(self) -> None:
        """An idle connection holds little, and closing it gives no memory."""
        for holding in self.holdings:
            self.budget.resize(holding, CONNECTION_BYTES)
        self.assertIsNone(self.budget.choose_victim(STALL_S, includes_small=False))
        self.assertIsNotNone(self.budget.choose_victim(STALL_S, includes_small=True))


class LargeAnswerTest(testtools.TestCase):
    """Answers of targets while large requests fill their part of the budget."""

    def test_answers_have_room(self) -> None:
        """Requests whose bodies are held can get their answers, and free the room."""
        replay = Replay(make_sizes(128 * MB))
        for _ in range(20):
            replay.add(BODY_BYTES)
        for _ in range(20):
            replay.step()
        answer = replay.budget.open_answer()
        replay.budget.resize(answer, MB)
        self.assertTrue(replay.budget.may_grow(answer, CHUNK))


class WindowTest(testtools.TestCase):
    """Buffers of many connections."""

    def test_window_shrinks(self) -> None:
        """All buffers fit into a part of the memory; each keeps its least size."""
        budget = ClientBudget(BudgetSizes(32 * MB, 10_000))
        first_bytes = budget.get_window_bytes()
        for _ in range(5000):
            budget.open_connection()
        self.assertLess(budget.get_window_bytes(), first_bytes)
        self.assertEqual(MIN_WINDOW_BYTES, budget.get_window_bytes())
