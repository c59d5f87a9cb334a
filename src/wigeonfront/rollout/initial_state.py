"""What a process begins with when it comes to own a Lot."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from wigeonfront.rollout.events import Text
from wigeonfront.rollout.lot import Lot, SampleResult
from wigeonfront.rollout.progress import LotProgress, submission_times
from wigeonfront.rollout.recent_texts import RecentTexts
from wigeonfront.spool import SpoolMember


@dataclass(frozen=True, slots=True)
class InitialState:
    """What is there of a Lot; nothing but the disks of a new one.

    Attributes
    ----------
    results : sequence of SampleResult
        That the store has.
    spooled : sequence of SampleResult
        That a disk had for the positions behind.
    spools : tuple of SpoolMember
        Disks for results that the store does not take.
    texts : mapping of str to Text
        What earlier owners have of unfinished samples.
    known_for : float
        Seconds for which this process has known of the Lot.
    """

    results: Sequence[SampleResult] = ()
    spooled: Sequence[SampleResult] = ()
    spools: tuple[SpoolMember, ...] = ()
    texts: Mapping[str, Text] = field(default_factory=dict, repr=False)
    known_for: float = 0.0


EMPTY_STATE = InitialState()


def create_progress(
    lot: Lot,
    head_revision: int,
    left: InitialState,
    recent: RecentTexts,
    now: float,
    unix_now: float,
) -> LotProgress:
    """Return the progress of a Lot that this process now owns.

    Parameters
    ----------
    head_revision : int
        Revision of the head row under which it does.
    recent : RecentTexts
        What this process itself has generated in other Lots.
    now, unix_now : float
        Monotonic and Unix time.
    """
    times = submission_times(lot, left.known_for, now, unix_now)
    progress = LotProgress(lot, head_revision, list(left.results), times, left.spools)
    for result in left.spooled:
        progress.finish(result)
    progress.possibly_shown = len(progress.results)
    for id, state in progress.open.items():
        text = recent.take(lot.account, id) or left.texts.get(id)
        state.waiting_since = now
        if text is not None and text.fits(lot.min_version, lot.single_version):
            state.text = text
    return progress
