"""A rollout service for reinforcement learning on shared inference capacity.

The commands ``wigeonfront entry``, ``side`` and ``storage`` run its processes. Trainers
and callers use `wigeonfront.client`. Other programs can embed the coordination that the
processes share from `wigeonfront.coordination`.
"""

from wigeonfront.clock import Clock, ManualClock, SystemClock
from wigeonfront.outcomes import (
    Completed,
    Expired,
    Failed,
    GivenUp,
    NotRun,
    Outcome,
    Unknown,
)

__version__ = "0.1.0"

__all__ = [
    "Clock",
    "Completed",
    "Expired",
    "Failed",
    "GivenUp",
    "ManualClock",
    "NotRun",
    "Outcome",
    "SystemClock",
    "Unknown",
]
