"""Decides which entry should own a new Lot, or a Lot whose owner is gone.

The functions are pure.
"""

import math
import zlib
from collections.abc import Collection, Mapping

from wigeonfront.coordination import rendezvous
from wigeonfront.coordination.membership import Member, Presence
from wigeonfront.rollout.head import Head, LotState
from wigeonfront.rollout.lot import Lot
from wigeonfront.rollout.progress import LotProgress

NO_OWNER = ""
"""Owner that the head row names while no entry owns the Lot."""

OWNER_GRACE_SECONDS = 1.5
"""Time for which an owner's row may be missing before its Lots are taken over. A live
owner registers again within three attempts."""

CLOCK_MARGIN_SECONDS = 0.2
"""Difference between the clocks of two VMs over `OWNER_GRACE_SECONDS`; an owner ceases
to be sure of its Lots earlier by this time."""

CLAIM_STEP_SECONDS = 0.7
"""Time after which the next member in a Lot's order claims the Lot. The member before
it may be gone and still be registered."""

MIN_CORES_SHARE = 0.5
"""Cores that a member needs in order to own new Lots, as a share of the most cores of a
member in its failure domain. Entries differ by a factor of five, and running a Lot
takes much processor time."""


def claimable_lots(
    heads: Mapping[str, Head],
    members: Collection[Member],
    missing_since: Mapping[str, float],
    me: str,
    owned: Collection[str],
    now: float,
    grace: float,
) -> list[str]:
    """Return the open Lots that this process should claim, oldest first.

    A Lot whose owner has restarted goes to the owner's new incarnation, which need not
    know of any other member. A Lot whose owner is gone goes to one live member, chosen
    by a hash, so that not all members claim it at once; the next member in the hash's
    order claims it a little later. A member whose row is missing may have lost only its
    lease: it counts as gone after `grace`.

    Parameters
    ----------
    heads : mapping of str to Head
        Head rows by the Lot's id.
    members : collection of Member
        Registered members.
    missing_since : mapping of str to float
        Monotonic time since which an owner has had no row, by its incarnation.
    me : str
        Incarnation of this process.
    owned : collection of str
        Ids of the Lots that this process runs already.
    now : float
        Monotonic time.
    grace : float
        Seconds for which an owner's row may be missing.
    """
    live = {member.incarnation for member in members}
    staying = sorted(member.incarnation for member in members if not member.leaving)
    successors = {_machine_name(incarnation): incarnation for incarnation in staying}
    replaced = {_machine_name(incarnation) for incarnation in live}
    claims = []
    for lot_id, head in heads.items():
        if head.state is not LotState.OPEN:
            continue
        if head.owner == me:
            if lot_id not in owned:
                claims.append(lot_id)
            continue
        if head.owner in live:
            continue
        machine = _machine_name(head.owner)
        restarted = head.owner == NO_OWNER or machine in replaced
        waited = now - missing_since.get(head.owner, now)
        if not restarted:
            waited -= grace
        if machine in successors:
            mine = me == successors[machine]
        else:
            mine = waited >= claim_delay(lot_id, me, staying)
        if mine and waited >= 0:
            claims.append(lot_id)
    return sorted(claims, key=lambda lot_id: heads[lot_id].submitted_at)


def is_surely_owned(
    run: LotProgress,
    presence: Presence,
    head: Head | None,
    mirror_revision: int,
    now: float,
) -> bool:
    """Return whether no other process can have taken over a Lot that this process runs.

    An owner that is cut off from the store, or that resumes after a pause, may have
    been replaced.

    Parameters
    ----------
    run : LotProgress
    presence : Presence
        Presence of this process.
    head : Head or None
        The Lot's head row in this process's mirror.
    mirror_revision : int
        Revision of the store that the mirror shows.
    now : float
        Time in seconds on the clock that counts suspensions.
    """
    if head is not None and head.revision > run.head_revision:
        return False
    # If the registration lapsed since this process became the owner, only a mirror that
    # is newer than the new registration shows whether another process took over.
    unbroken = run.presence_revision == presence.since_revision
    if not unbroken and mirror_revision < presence.since_revision:
        return False
    return now < presence.until + OWNER_GRACE_SECONDS - CLOCK_MARGIN_SECONDS


def preferred_owner(
    lot: Lot, members: Collection[Member], failure_domain: str
) -> Member | None:
    """Return the member that should own a new Lot; ``None`` if none is eligible.

    All Lots of a trainer go to one entry of the failure domain in which they arrive.
    This entry reuses its connections to the engines from one Lot to the next, and it
    knows of all the runs that it has at the engines.

    Parameters
    ----------
    lot : Lot
    members : collection of Member
        Registered members.
    failure_domain : str
        Failure domain of the entry that received the Lot.
    """
    in_domain = [
        member
        for member in members
        if member.failure_domain == failure_domain and not member.leaving
    ]
    max_cores = max((member.cores for member in in_domain), default=0.0)
    eligible = {
        member.name: member
        for member in in_domain
        if member.cores >= MIN_CORES_SHARE * max_cores
    }
    name = rendezvous.owner(f"{lot.host}{lot.prefix}{lot.model}", eligible)
    return eligible[name] if name else None


def claim_delay(lot_id: str, me: str, live: Collection[str]) -> float:
    """Return the seconds after which a member claims a Lot that has no live owner.

    Parameters
    ----------
    lot_id : str
    me : str
        Incarnation of the member; one that is not in `live` never claims.
    live : collection of str
        Incarnations of the members that may claim the Lot.
    """
    if me not in live:
        return math.inf
    my_rank = _claim_rank(lot_id, me)
    before = sum(_claim_rank(lot_id, other) < my_rank for other in live)
    return before * CLAIM_STEP_SECONDS


def _claim_rank(lot_id: str, member: str) -> tuple[int, str]:
    return zlib.crc32(f"{lot_id} {member}".encode()), member


def _machine_name(incarnation: str) -> str:
    return incarnation.rpartition(".")[0]
