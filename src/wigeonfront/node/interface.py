"""Wires the product's own HTTP interface to the parts of an entry."""

import logging
from collections.abc import Callable
from dataclasses import dataclass

from wigeonfront.accounts.gate import AccountGate
from wigeonfront.api import ApiFront
from wigeonfront.api.authentication import CallAuthenticator
from wigeonfront.api.lots import LotCalls
from wigeonfront.api.messages import DutyStatus
from wigeonfront.api.operations import CatalogueCalls, Deployment, OperatorCalls
from wigeonfront.api.quarantine import QuarantineCalls
from wigeonfront.api.requests import RequestCalls
from wigeonfront.clock import Clock
from wigeonfront.coordination.membership import Member
from wigeonfront.coordination.rows import RowStore
from wigeonfront.forwarding.forwarder import Forwarder
from wigeonfront.forwarding.idempotency import IdempotentRequests
from wigeonfront.forwarding.streams import StreamForwarder
from wigeonfront.node.assigning import EntryAssignment
from wigeonfront.node.duties import UsageDuty
from wigeonfront.node.following import ConfigurationFollower
from wigeonfront.node.store_view import StoreView
from wigeonfront.observability.explain import RecentEvents
from wigeonfront.platform.catalogue import PlatformCatalogue
from wigeonfront.platform.lot_calls import PlatformSamples
from wigeonfront.quarantine import CrashLedger
from wigeonfront.rollout.engine_shares import TrainerShare
from wigeonfront.rollout.lots import Lots
from wigeonfront.targets.table import TargetTable


@dataclass(frozen=True, slots=True, kw_only=True)
class InterfaceParts:
    """The parts of an entry that its interface uses.

    Attributes
    ----------
    name : str
        Name of the machine.
    own_member : callable
        Returns the membership record of this process.
    ready : callable
        Returns whether callers may be sent here.
    drain : callable
        Starts a planned stop.
    engine_shares : callable
        Returns what is known about each trainer's use of engine slots.
    """

    name: str
    own_member: Callable[[], Member]
    ready: Callable[[], bool]
    drain: Callable[[], None]
    store: RowStore
    view: StoreView
    configuration: ConfigurationFollower
    assignment: EntryAssignment
    duties: list[UsageDuty]
    table: TargetTable
    forwarder: Forwarder
    streams: StreamForwarder
    lots: Lots
    engine_shares: Callable[[], list[TrainerShare]]
    ledger: CrashLedger
    gate: AccountGate
    clock: Clock


def make_api(parts: InterfaceParts) -> ApiFront:
    """Return the interface, which keeps the log events from now on for `explain`."""
    samples = PlatformSamples()
    authenticator = CallAuthenticator(parts.gate)
    requests = RequestCalls(
        parts.forwarder,
        parts.streams,
        _idempotent_requests(parts),
        samples,
        authenticator,
        parts.clock,
    )
    return ApiFront(
        lambda: parts.configuration.current,
        lambda: parts.gate.outdated,
        parts.ready,
        LotCalls(parts.lots, samples, authenticator, parts.clock),
        requests,
        _catalogue(parts),
        _operations(parts),
        QuarantineCalls(parts.ledger, parts.clock),
    )


def _idempotent_requests(parts: InterfaceParts) -> IdempotentRequests:
    return IdempotentRequests(
        parts.store,
        lambda: parts.own_member().incarnation,
        lambda: {member.incarnation for member in parts.view.members()},
        parts.clock,
    )


def _catalogue(parts: InterfaceParts) -> CatalogueCalls:
    return CatalogueCalls(
        parts.store,
        PlatformCatalogue(),
        parts.view.members,
        lambda: parts.configuration.version,
        parts.own_member,
    )


def _operations(parts: InterfaceParts) -> OperatorCalls:
    remembered = RecentEvents(parts.name)
    logging.getLogger("wigeonfront").addHandler(remembered)
    deployment = Deployment(
        own_member=parts.own_member,
        ready=parts.ready,
        version=lambda: parts.configuration.version,
        members=parts.view.members,
        mirror=parts.view.live,
        named_versions=parts.configuration.versions,
        order_holders=lambda: parts.assignment.holders,
        duties=lambda: [_duty_status(duty, parts.assignment) for duty in parts.duties],
        services=parts.configuration.services,
        table=parts.table,
        lots=parts.lots,
        engine_shares=parts.engine_shares,
    )
    return OperatorCalls(deployment, remembered.find, parts.drain)


def _duty_status(duty: UsageDuty, assignment: EntryAssignment) -> DutyStatus:
    holder = assignment.holder(duty.subject) or ""
    return DutyStatus(duty.subject, holder, assignment.revision, duty.last)
