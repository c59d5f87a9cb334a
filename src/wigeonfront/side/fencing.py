"""The side's fencing number, without which it gives its engine no orders."""

import logging
import random
import threading

from wigeonfront.coordination.fencing import FencingNumber, take_fencing_number
from wigeonfront.logs import event
from wigeonfront.platform import KeyValue

logger = logging.getLogger(__name__)

FIRST_PAUSE = 0.2
LONGEST_PAUSE = 5.0


class FencingKeeper:
    """Takes one number for this process's life (one task, which then ends).

    Parameters
    ----------
    name : str
        This side.
    key_value : KeyValue
    """

    def __init__(self, name: str, key_value: KeyValue) -> None:
        self._name = name
        self._key_value = key_value
        self._number = 0

    @property
    def number(self) -> int:
        """The number; 0 while there is none."""
        return self._number

    def run(self, stop: threading.Event) -> None:
        """Try until there is a number (a supervisor's task)."""
        pause = FIRST_PAUSE
        while not stop.is_set():
            taken = take_fencing_number(self._key_value, self._name)
            if isinstance(taken, FencingNumber):
                self._number = taken.number
                event(logger, "fencing_number", number=taken.number)
                return
            stop.wait(random.uniform(pause / 2, pause))
            pause = min(LONGEST_PAUSE, pause * 2)
