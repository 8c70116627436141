"""Limits the prompt tokens that a node has pending at the engines of a service.

When the load is close to what the engines can prefill, dozens of nodes that each keep a
few prompts at every engine overfill the engines' memory several times. Kept context is
then evicted, every prompt is prefilled in full, and all answers are late at once.
Nodes learn too late what the other nodes send. Each node therefore adapts its window
to the prefill times of its own prompts, like congestion control: the window grows
while they are well within the objective and shrinks when they are not. Other requests
wait at the node, where those that can still meet their objective go first.
"""

from __future__ import annotations

from dataclasses import dataclass, field

INITIAL_WINDOW_PROMPTS = 4.0
"""Initial window of a node, in prompts of typical size."""

TYPICAL_PROMPT_TOKENS = 4096
"""Size of a typical prompt, which is one prefill chunk of an engine."""

PREFILL_OBJECTIVE_SHARE = 0.5
"""Share of the latency objective that prefill may take. The rest is for queueing at a
node, the network to the client, and the variation around the mean."""

DECREASE_FACTOR = 0.7
"""Factor by which the window shrinks when prefill is too slow."""

PENDING_EXPIRY_OBJECTIVES = 1.5
"""Time for which a prompt counts as pending, in latency objectives. An engine that
takes longer is unreachable or stuck, which says nothing about the other engines."""

MIN_WINDOW_PROMPTS = 1.5
"""Lower bound of the window, in prompts of typical size."""

MAX_WINDOW_PROMPTS = 64.0
"""Upper bound of the window, in prompts of typical size. No node serves more within a
second."""


@dataclass(frozen=True)
class PendingPrompt:
    """A prompt that was sent to an engine and is not prefilled yet."""

    tokens: int
    expires_s: float


@dataclass
class SendWindow:
    """The prompt tokens that one node may have pending at one service's engines."""

    limit_tokens: float = INITIAL_WINDOW_PROMPTS * TYPICAL_PROMPT_TOKENS
    pending: dict[int, PendingPrompt] = field(default_factory=dict)
    """Prompts by an identifier that the caller chooses."""
    last_decrease_s: float = float("-inf")
    """Time at which the window last shrank."""

    def may_send(self, prompt_tokens: int, now_s: float) -> bool:
        """Whether one more prompt fits the window; a single prompt always does."""
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
        """Add a prompt that is sent to the pending prompts."""
        expires_s = now_s + objective_s * PENDING_EXPIRY_OBJECTIVES
        self.pending[prompt_id] = PendingPrompt(prompt_tokens, expires_s)

    def remove(self, prompt_id: int) -> None:
        """Remove a prompt that was prefilled or has failed."""
        self.pending.pop(prompt_id, None)

    def update_limit(
        self, prompt_tokens: int, duration_s: float, objective_s: float, now_s: float
    ) -> None:
        """Adapt the window to the time that a prompt took to its first event.

        Args:
            prompt_tokens: Size of the prompt.
            duration_s: Time from sending the prompt to its first event.
            objective_s: Latency objective of the first event.
            now_s: Monotonic time.
        """
        if duration_s > objective_s * PREFILL_OBJECTIVE_SHARE:
            # Prompts sent before the last decrease do not show its effect.
            if now_s - duration_s >= self.last_decrease_s:
                self.last_decrease_s = now_s
                self.limit_tokens = max(
                    MIN_WINDOW_PROMPTS * TYPICAL_PROMPT_TOKENS,
                    self.limit_tokens * DECREASE_FACTOR,
                )
            return
        # Adds about one typical prompt for each window of tokens prefilled in time.
        growth = TYPICAL_PROMPT_TOKENS * prompt_tokens / self.limit_tokens
        self.limit_tokens = min(
            MAX_WINDOW_PROMPTS * TYPICAL_PROMPT_TOKENS, self.limit_tokens + growth
        )
