"""Which entry should own a Lot, when it comes and when its owner is gone."""

import math
import zlib
from collections.abc import Collection, Mapping

from wigeonfront.coordination import rendezvous
from wigeonfront.coordination.membership import Member, Presence
from wigeonfront.rollout.head import Head, LotState
from wigeonfront.rollout.lot import Lot
from wigeonfront.rollout.progress import LotProgress

NO_OWNER = ""
"""Owner of a Lot that its last owner handed over."""

OWNER_GRACE_SECONDS = 1.5
"""How long an owner's row may be missing before its Lots are taken over: an owner that
lives registers again within three tries."""

CLOCK_MARGIN_SECONDS = 0.2
"""Part of that time by which two VMs may measure it apart."""

CLAIM_STEP_SECONDS = 0.7
"""Time after which the next member in a Lot's order claims it: the one before may be
gone, and still be registered."""

MIN_CORES_SHARE = 0.5
"""Processor time of a member that owns new Lots, as a share of the most in its failure
domain: entries differ by a factor of five, and a Lot keeps its owner busy."""


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

    A Lot whose owner has started again goes to the new incarnation, which need not have
    heard of any other member. A Lot whose owner is gone goes to one live member, chosen
    by a hash, so that they do not all try at once; the next one in the hash's order
    tries a little later. A member whose row is missing may only have lost its lease: it
    counts as gone after `grace`.

    Parameters
    ----------
    heads : mapping of str to Head
        By the Lot's id.
    missing_since : mapping of str to float
        Monotonic time since when an owner's incarnation has had no row.
    me : str
        This process's incarnation.
    owned : collection of str
        Lots that it runs already.
    """
    live = {member.incarnation for member in members}
    staying = sorted(
        member.incarnation for member in members if not member.leaving
    )
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
    """Tell whether no other process can have taken over a Lot that is run here.

    An owner that is cut off, or wakes after a pause, may have been replaced.

    Parameters
    ----------
    run : LotProgress
    presence : Presence
        Of this process.
    head : Head or None
        In this process's copy of the store's rows.
    mirror_revision : int
        Revision of the store that the copy is as of.
    now : float
        Time on the clock that counts suspensions.
    """
    if head is not None and head.revision > run.head_revision:
        return False
    # The copy shows who took over while this process was not registered.
    unbroken = run.presence_revision == presence.since_revision
    if not unbroken and mirror_revision < presence.since_revision:
        return False
    return now < presence.until + OWNER_GRACE_SECONDS - CLOCK_MARGIN_SECONDS


def preferred_owner(
    lot: Lot, members: Collection[Member], failure_domain: str
) -> Member | None:
    """Return the member that should own a new Lot; ``None`` where there is none.

    All Lots of a trainer go to one entry of the failure domain in which they arrive:
    its connections to the engines are kept from one Lot to the next, and it knows of
    all the runs that it has at them.

    Parameters
    ----------
    members : collection of Member
    failure_domain : str
        In which the Lot has arrived.
    """
    in_domain = [
        member
        for member in members
        if member.failure_domain == failure_domain and not member.leaving
    ]
    max_cores = max((member.cores for member in in_domain), default=0.0)
    eligible = {member.name: member for member in in_domain if member.cores >= MIN_CORES_SHARE * max_cores}
    name = rendezvous.owner(f"{lot.host}{lot.prefix}{lot.model}", eligible)
    return eligible[name] if name else None


def claim_delay(lot_id: str, me: str, live: Collection[str]) -> float:
    """Return how long a member leaves a Lot without an owner to others, in seconds."""
    if me not in live:
        return math.inf
    my_rank = _claim_rank(lot_id, me)
    before = sum(_claim_rank(lot_id, other) < my_rank for other in live)
    return before * CLAIM_STEP_SECONDS


def _claim_rank(lot_id: str, member: str) -> tuple[int, str]:
    return zlib.crc32(f"{lot_id} {member}".encode()), member


def _machine_name(incarnation: str) -> str:
    return incarnation.rpartition(".")[0]
