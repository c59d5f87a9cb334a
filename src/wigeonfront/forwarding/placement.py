"""Choice of the target for a plain request or a stream; pure functions."""

from collections.abc import Collection, Sequence

from wigeonfront.targets.views import TargetView

FAR_FACTOR = 1.1
"""Factor on the cost of a target in another failure domain. The network delay between
failure domains is small against the work, but bandwidth between them is scarce."""

UNKNOWN_LATENCY_SECONDS = 0.03
"""Latency in seconds that is assumed for a target that has not answered yet."""


def usable_targets(
    views: Sequence[TargetView], excluded: Collection[str]
) -> list[TargetView]:
    """Return the targets that a request may be sent to.

    Parameters
    ----------
    excluded : collection of str
        Ids of targets to which this request was already sent.
    """
    return [
        view for view in views if not view.draining and view.target.id not in excluded
    ]


def choose_target(
    views: Sequence[TargetView], excluded: Collection[str], failure_domain: str
) -> TargetView | None:
    """Return the target that should answer soonest.

    A target whose circuit breaker is open is chosen only if no other is left: it may
    have recovered, and the request could not be served otherwise. Before it comes one
    that only other entries report as failing, as they may be cut off from it.

    Parameters
    ----------
    excluded : collection of str
        Ids of targets that must not be chosen.
    failure_domain : str
        Failure domain of the process that holds the request.
    """
    usable = usable_targets(views, excluded)
    healthy = [view for view in usable if view.available]
    trusted = [view for view in healthy if not view.suspected]
    return min(
        trusted or healthy or usable,
        key=lambda view: expected_wait(view, failure_domain),
        default=None,
    )


def expected_wait(view: TargetView, failure_domain: str) -> float:
    """Return the expected seconds until the target answers one more request."""
    latency = view.latency or UNKNOWN_LATENCY_SECONDS
    queue = max(0, view.in_flight - view.target.slots + 1) / max(1, view.target.slots)
    busy = view.in_flight / max(1, view.target.slots)
    near = view.target.failure_domain == failure_domain
    return latency * (1 + queue + 0.2 * busy) * (1.0 if near else FAR_FACTOR)
