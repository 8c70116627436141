"""Bounds the prompt tokens that a node has unread at a service's engines.

Answers load at the edge of what engines read: dozens of nodes that each keep a few
prompts at every engine fill the engines' memory several times over, context that
was kept there is dropped, every prompt is read whole, and all answers are late at
once. Nobody knows what the others send in time, so each node goes by how long its own
prompts take: it sends more while they are read well within the objective and less when
they are not, and the rest waits here, where those that can still be on time go first.
"""

from __future__ import annotations

from dataclasses import dataclass, field

INITIAL_WINDOW_PROMPTS = 4.0
"""Prompts of usual size that a node may have unread before it has seen any read."""

TYPICAL_PROMPT_TOKENS = 4096
"""Size of a usual prompt, one chunk of an engine."""

PREFILL_OBJECTIVE_SHARE = 0.5
"""Part of the objective that reading may take: the rest is for waiting at a node, the
way to the client, and the spread around the mean."""

DECREASE_FACTOR = 0.7
"""Factor by which the window shrinks when prompts are read too slowly."""

PENDING_EXPIRY_OBJECTIVES = 1.5
"""Objectives for which a prompt counts as unread: an engine that is silent for longer
is dark or stuck, which says nothing of the others."""

MIN_WINDOW_PROMPTS = 1.5
"""Least window, in prompts of usual size."""

MAX_WINDOW_PROMPTS = 64.0
"""Most prompts of usual size unread at once; no node serves more within a second."""


@dataclass(frozen=True)
class PendingPrompt:
    """A prompt that was sent and not read yet."""

    tokens: int
    expires_s: float


@dataclass
class SendWindow:
    """What one node may have unread at the engines of one service."""

    limit_tokens: float = INITIAL_WINDOW_PROMPTS * TYPICAL_PROMPT_TOKENS
    pending: dict[int, PendingPrompt] = field(default_factory=dict)
    """Prompts by any number that names them."""
    last_decrease_s: float = float("-inf")
    """When the window last shrank."""

    def may_send(self, prompt_tokens: int, now_s: float) -> bool:
        """Whether one more prompt fits; one always does."""
        pending_tokens = [
            prompt.tokens
            for prompt in self.pending.values()
            if prompt.expires_s > now_s
        ]
        return (
            not pending_tokens
            or sum(pending_tokens) + prompt_tokens <= self.limit_tokens
        )

    def record_sent(
        self, prompt_id: int, prompt_tokens: int, objective_s: float, now_s: float
    ) -> None:
        """Count a prompt that is sent."""
        expires_s = now_s + objective_s * PENDING_EXPIRY_OBJECTIVES
        self.pending[prompt_id] = PendingPrompt(prompt_tokens, expires_s)

    def remove(self, prompt_id: int) -> None:
        """Count a prompt out that was read, or never will be."""
        self.pending.pop(prompt_id, None)

    def update_limit(
        self, prompt_tokens: int, duration_s: float, objective_s: float, now_s: float
    ) -> None:
        """Learn from the time that a prompt took to its first event.

        Args:
            prompt_tokens: Size of the prompt.
            duration_s: Time from its sending to its first event.
            objective_s: Time in which the client wants the first event.
            now_s: Monotonic time.
        """
        if duration_s > objective_s * PREFILL_OBJECTIVE_SHARE:
            # What was sent before the last decrease says nothing of it.
            if now_s - duration_s >= self.last_decrease_s:
                self.last_decrease_s = now_s
                self.limit_tokens = max(
                    MIN_WINDOW_PROMPTS * TYPICAL_PROMPT_TOKENS,
                    self.limit_tokens * DECREASE_FACTOR,
                )
            return
        # About one prompt for each window that was read in time.
        growth = TYPICAL_PROMPT_TOKENS * prompt_tokens / self.limit_tokens
        self.limit_tokens = min(
            MAX_WINDOW_PROMPTS * TYPICAL_PROMPT_TOKENS, self.limit_tokens + growth
        )
