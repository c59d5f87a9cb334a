"""Registered targets, their observed load and health, and their circuit breakers.

`target` holds a registration as data, `table` holds the state that this process keeps
of each target, and `circuit` decides when a failing target gets no requests. The
package starts no tasks.
"""

from wigeonfront.targets.table import TargetTable
from wigeonfront.targets.target import Target
from wigeonfront.targets.views import TargetView

__all__ = ["Target", "TargetTable", "TargetView"]
