"""Weighted fair share among trainers, by virtual time.

A trainer's virtual time grows by the tokens that it was given, divided by its
weight. Work goes to the trainer that is furthest behind; among those within one
`quantum` of it, to the one whose work has the least slack. Source of the virtual
time: Goyal, Vin and Cheng, "Start-time fair queueing", 1996. Not thread-safe: the
owner holds a lock.
"""

from collections.abc import Mapping

QUANTUM_TOKENS = 128.0
"""Tokens of lead, per unit of weight, within which slack decides."""


class FairShare:
    """Virtual times of the trainers that share a target.

    Parameters
    ----------
    quantum : float
        Lead within which trainers count as equal, in tokens per unit of weight.
    weights : mapping of str to float
        Weight of each trainer; 1 where none is given.

    Examples
    --------
    >>> share = FairShare(quantum=0, weights={"big": 2.0})
    >>> for trainer in ("big", "small"):
    ...     share.activate(trainer)
    >>> share.charge("big", 100)
    >>> share.charge("small", 100)
    >>> share.pick({"big": 7.0, "small": 3.0})
    'big'
    """

    def __init__(
        self,
        quantum: float = QUANTUM_TOKENS,
        weights: Mapping[str, float] | None = None,
    ) -> None:
        self._quantum = quantum
        self._weights = dict(weights or {})
        self._times: dict[str, float] = {}
        self._floor = 0.0

    def set_weights(self, weights: Mapping[str, float]) -> None:
        """Replace the weights; they count from the next charge."""
        self._weights = dict(weights)

    def weight(self, trainer: str) -> float:
        """Return the weight of `trainer`."""
        return self._weights.get(trainer, 1.0)

    def activate(self, trainer: str) -> None:
        """Note that `trainer` has work again; being idle earns no credit."""
        self._times[trainer] = max(self._floor, self._times.get(trainer, 0.0))

    def charge(self, trainer: str, tokens: float) -> None:
        """Account `tokens` to `trainer`; negative to give back a prediction."""
        time = self._times.get(trainer, self._floor) + tokens / self.weight(trainer)
        self._times[trainer] = time

    def lead(self, trainer: str) -> float:
        """Return how far `trainer` is ahead of the one furthest behind."""
        return self._times.get(trainer, self._floor) - self._floor

    def pick(self, latest_starts: Mapping[str, float]) -> str:
        """Return the trainer to be served next.

        Parameters
        ----------
        latest_starts : mapping of str to float
            For each trainer with work waiting, when its most urgent work must
            start to be on time.

        Returns
        -------
        str
            A key of `latest_starts`.
        """
        times = {t: self._times.get(t, self._floor) for t in latest_starts}
        behind = min(times.values())
        self._floor = max(self._floor, behind)
        near = [t for t in times if times[t] <= behind + self._quantum]
        return min(near, key=lambda trainer: (latest_starts[trainer], trainer))
