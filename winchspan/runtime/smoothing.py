"""Smoothed statistics in constant memory."""

from __future__ import annotations

from typing import Final

SMOOTHING: Final = 8
"""A new sample has the weight 1/8 in a mean, and 1/4 in its deviation, as in RFC 6298, section 2."""


def smoothed(mean: float, deviation: float, sample: float) -> tuple[float, float]:
    """Return a mean and its mean deviation, updated by one sample as in RFC 6298, section 2.

    Args:
        mean: the mean so far; 0 if there has been no sample.
        deviation: the mean deviation so far.
        sample: the new sample, in the unit of the mean.

    Returns:
        The updated mean and the updated deviation.
    """
    if not mean:
        return float(sample), sample / 2
    error = sample - mean
    new_mean = mean + error / SMOOTHING
    new_deviation = deviation + (abs(error) - deviation) * 2 / SMOOTHING
    return new_mean, new_deviation
