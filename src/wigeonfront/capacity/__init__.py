"""Decisions about engine capacity that several entries and trainers share.

Each owner of Lots tells the other owners what its Lots still demand of the engines
(`demand`). From this picture all owners decide alike, without a coordinator: `shares`
divides the slots of engines while they are short, and `admission` decides which new
Lots are accepted. `recent` stands in for reports that have not arrived yet, and
`observation` measures what the engines can do.
"""

from wigeonfront.capacity.demand import DemandBook, LotDemand, trainer_key

__all__ = ["DemandBook", "LotDemand", "trainer_key"]
