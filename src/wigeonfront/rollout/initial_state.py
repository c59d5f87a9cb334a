"""The state of a Lot with which a process begins as its new owner."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from wigeonfront.rollout.events import Text
from wigeonfront.rollout.lot import Lot, SampleResult
from wigeonfront.rollout.progress import LotProgress, submission_times
from wigeonfront.rollout.recent_texts import RecentTexts
from wigeonfront.spool import SpoolMember


@dataclass(frozen=True, slots=True)
class InitialState:
    """The state of a Lot as its new owner finds it; a new Lot has only its disks.

    Attributes
    ----------
    results : sequence of SampleResult
        Results in the store.
    spooled : sequence of SampleResult
        Results from a disk, for the positions after those in the store.
    spools : tuple of SpoolMember
        Disks for results that the store does not accept.
    texts : mapping of str to Text
        Unfinished texts that earlier owners have stored, by the sample's id.
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
    initial: InitialState,
    recent: RecentTexts,
    now: float,
    unix_now: float,
) -> LotProgress:
    """Return the progress of a Lot that this process now owns.

    Parameters
    ----------
    lot : Lot
    head_revision : int
        Revision of the head row under which this process owns the Lot.
    initial : InitialState
    recent : RecentTexts
        Texts of samples from Lots that this process has stopped.
    now, unix_now : float
        Monotonic and Unix time.
    """
    times = submission_times(lot, initial.known_for, now, unix_now)
    progress = LotProgress(
        lot, head_revision, list(initial.results), times, initial.spools
    )
    for result in initial.spooled:
        progress.finish(result)
    progress.possibly_shown = len(progress.results)
    for sample_id, state in progress.open.items():
        text = recent.pop(lot.account, sample_id) or initial.texts.get(sample_id)
        state.waiting_since = now
        if text is not None and text.fits(lot.min_version, lot.single_version):
            state.text = text
    return progress
