"""Handles the calls that the system's processes make to each other."""

from collections.abc import Callable, Mapping

from wigeonfront.api.operations import VERSION_PATH, VersionServer
from wigeonfront.coordination.feed import FEED_PATH, FeedServer
from wigeonfront.coordination.relay import RELAY_PATH, RelayServer
from wigeonfront.forwarding.report_exchange import REPORTS_PATH, ReportServer
from wigeonfront.http.raw import RawCall
from wigeonfront.rollout.engine_loads import LOADS_PATH, REPORT_PATH, LoadServer
from wigeonfront.rollout.owner_calls import (
    END_PATH,
    RESULTS_PATH,
    SUBMISSION_PATH,
    EndServer,
    ResultServer,
    SubmissionServer,
)
from wigeonfront.spool.calls import SPOOL_RELAY_PATH
from wigeonfront.spool.relay import SpoolRelayServer


class PeerCalls:
    """Dispatches the calls of other processes by their paths.

    Parameters
    ----------
    relay : RelayServer
    feed : FeedServer
    owner : ResultServer
    submissions : SubmissionServer
    ends : EndServer
    loads : LoadServer
    reports : ReportServer
    version : VersionServer
    spool_relay : SpoolRelayServer
    more : mapping of str to callable
        Handlers of further calls, by path.
    """

    def __init__(
        self,
        relay: RelayServer,
        feed: FeedServer,
        owner: ResultServer,
        submissions: SubmissionServer,
        ends: EndServer,
        loads: LoadServer,
        reports: ReportServer,
        version: VersionServer,
        spool_relay: SpoolRelayServer,
        more: Mapping[str, Callable[[RawCall], None]],
    ) -> None:
        self._answers = {
            RELAY_PATH: relay.answer,
            FEED_PATH: feed.answer,
            RESULTS_PATH: owner.answer,
            SUBMISSION_PATH: submissions.answer,
            END_PATH: ends.answer,
            LOADS_PATH: loads.answer,
            REPORTS_PATH: reports.answer,
            REPORT_PATH: loads.answer_report,
            VERSION_PATH: version.answer,
            SPOOL_RELAY_PATH: spool_relay.answer,
            **more,
        }

    def answer(self, call: RawCall) -> None:
        """Answer a call; with 404 if its path is unknown."""
        answer = self._answers.get(call.path)
        if answer is None:
            call.reply(404)
        else:
            answer(call)
