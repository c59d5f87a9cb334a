"""A rollout service for reinforcement learning on shared inference capacity.

The daemons are ``wigeonfront entry`` and ``wigeonfront side``. The parts that
coordinate them are importable from `wigeonfront.coordination`, and trainers use
`wigeonfront.client`.
"""

from wigeonfront.clock import Clock, ManualClock, SystemClock
from wigeonfront.outcomes import (
    Completed,
    Expired,
    Failed,
    NotRun,
    Outcome,
    Unknown,
    VersionSpan,
)

__version__ = "0.1.0"

__all__ = [
    "Clock",
    "Completed",
    "Expired",
    "Failed",
    "ManualClock",
    "NotRun",
    "Outcome",
    "SystemClock",
    "Unknown",
    "VersionSpan",
]
