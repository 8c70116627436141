"""Decides when a voter of the replicated log that is lost has to be removed.

A lost voter still counts in the majority. Beside a successor it takes away a loss that
the deployment must tolerate: of six voters, one of them lost, three are no majority
once two more are lost, though three of five are.
"""

from __future__ import annotations


def get_min_voters(tolerated_losses: int) -> int:
    """Return the number of voters that tolerates losing some of them, disks included.

    A majority of fewer voters could all be lost, with what only they have synced.
    """
    return 2 * tolerated_losses + 1


def get_majority(voter_count: int) -> int:
    """Return the smallest number of voters that is a majority."""
    return voter_count // 2 + 1


def is_removal_due(
    voter_count: int, reachable_count: int, tolerated_losses: int
) -> bool:
    """Whether a lost voter has to be removed, and can be.

    Args:
        voter_count: Number of voters.
        reachable_count: Number of voters that are not lost.
        tolerated_losses: Number of voters that may be lost at the same time.

    Returns:
        Whether the reachable voters are enough by themselves, but would not be a
        majority any more after the tolerated losses.
    """
    has_lost_voter = reachable_count < voter_count
    is_enough = reachable_count >= get_min_voters(tolerated_losses)
    remaining_count = reachable_count - tolerated_losses
    return has_lost_voter and is_enough and remaining_count < get_majority(voter_count)
