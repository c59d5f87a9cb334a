"""The changes, and the tests that must notice each."""

from dataclasses import dataclass

from benchmarks.rounds.mechanisms import ORDER, Mechanism


@dataclass(frozen=True, slots=True)
class Mutation:
    """A change of a decision.

    Attributes
    ----------
    change : Mechanism
        The lines that are replaced.
    tests : tuple of str
        Test files, below ``tests``, that must fail with it.
    """

    change: Mechanism
    tests: tuple[str, ...]


def _mutation(name: str, file: str, old: str, new: str, *tests: str) -> Mutation:
    return Mutation(Mechanism(name, file, ((old, new),)), tests)


MUTATIONS = (
    _mutation(
        "a lapsed registration is held for ever",
        "node/following.py",
        "if around_outage and (mirror.failing or now < back_by):",
        "if around_outage:",
        "test_target_follower.py",
    ),
    _mutation(
        "a lapsed registration is dropped at once",
        "node/following.py",
        "if around_outage and (mirror.failing or now < back_by):",
        "if False:",
        "test_target_follower.py",
    ),
    _mutation(
        "words of an earlier start count",
        "node/following.py",
        "if target.started_ms < self._starts.get(target.name, 0):",
        "if False:",
        "test_target_follower.py",
    ),
    _mutation(
        "a run has one second",
        "rollout/runner.py",
        "max(LEAST_RUN_SECONDS, run.progress.gives_up_at - started)",
        "1.0",
        "test_lot_runner.py",
    ),
    _mutation(
        "samples wait in no order",
        ORDER,
        "UNRANKED), one.latest_start)",
        "UNRANKED), 0.0)",
        "test_rollout_order.py",
    ),
    _mutation(
        "weights may be any",
        ORDER,
        "return version is None or version >= self.min_version",
        "return True",
        "test_rollout_order.py",
    ),
    _mutation(
        "a text goes on at any version",
        ORDER,
        "return version == self.text_version",
        "return True",
        "test_rollout_order.py",
        "test_lot_runner.py",
    ),
    _mutation(
        "leaving engines get samples",
        ORDER,
        "if not view.draining\n        and view.available",
        "if view.available",
        "test_rollout_order.py",
    ),
    _mutation(
        "the engine that broke a run is not avoided",
        ORDER,
        "if view.target.id != avoid] or usable",
        "if True]",
        "test_rollout_order.py",
    ),
    _mutation(
        "runs never move",
        ORDER,
        "if pace > MOVE_FACTOR * typical:\n        return True",
        "if pace > MOVE_FACTOR * typical:\n        return False",
        "test_rollout_order.py",
    ),
    _mutation(
        "runs move without end",
        ORDER,
        "if moves >= MOST_MOVES or",
        "if",
        "test_rollout_order.py",
    ),
    _mutation(
        "a full engine's silence is waited for no longer",
        ORDER,
        "if view.load >= view.target.slots:\n        return MOST_FIRST",
        "if False:\n        return MOST_FIRST",
        "test_rollout_order.py",
    ),
    _mutation(
        "short places are not shared",
        ORDER,
        "or view.in_flight < own_share",
        "",
        "test_overload.py",
        "test_rollout_order.py",
    ),
    _mutation(
        "results wait for their batch though all are there",
        ORDER,
        "URGENT_BATCH_SECONDS if all_done or groups_done else BATCH_SECONDS",
        "BATCH_SECONDS",
        "test_rollout_order.py",
    ),
    _mutation(
        "texts are never kept",
        ORDER,
        "return any(state.unsaved for state in progress.open.values())",
        "return False",
        "test_rollout_order.py",
    ),
    _mutation(
        "overload is never seen",
        "rollout/overload.py",
        "if needed > places * _time_left(progress, now):",
        "if False:",
        "test_overload.py",
    ),
    _mutation(
        "groups that are begun wait like others",
        "rollout/overload.py",
        "return GroupRank(late, 0 if found.begun else 1, found.seconds)",
        "return GroupRank(late, 1, found.seconds)",
        "test_overload.py",
    ),
    _mutation(
        "late groups go first",
        "rollout/overload.py",
        "late = now + found.longest > progress.due_at",
        "late = now + found.longest <= progress.due_at",
        "test_overload.py",
    ),
    _mutation(
        "a Lot whose owner lives is claimed",
        "rollout/ownership.py",
        "if head.owner in live:\n            continue",
        "if False:\n            continue",
        "test_lot_ownership.py",
    ),
    _mutation(
        "a Lot is claimed without grace",
        "rollout/ownership.py",
        "if not restarted:\n            waited -= grace",
        "if False:\n            waited -= grace",
        "test_lot_ownership.py",
    ),
    _mutation(
        "an ended Lot is claimed",
        "rollout/ownership.py",
        "if head.state is not LotState.OPEN:",
        "if False:",
        "test_lot_ownership.py",
    ),
    _mutation(
        "a leaving entry owns new Lots",
        "rollout/ownership.py",
        "if one.failure_domain == failure_domain and not one.leaving",
        "if one.failure_domain == failure_domain",
        "test_lot_ownership.py",
    ),
    _mutation(
        "small entries own new Lots",
        "rollout/ownership.py",
        "if one.cores >= LEAST_CORES_SHARE * most}",
        "if True}",
        "test_lot_ownership.py",
    ),
    _mutation(
        "an engine that moves keeps its holder",
        "coordination/assignment.py",
        "if self.before is not None and self.before.holder(subject) != now:",
        "if False:",
        "test_assignment.py",
    ),
    _mutation(
        "a change follows one that is not settled",
        "coordination/assignment.py",
        "if current.before is not None:\n        return None",
        "if False:\n        return None",
        "test_assignment.py",
    ),
    _mutation(
        "a holder that is missing for a moment is replaced",
        "coordination/assignment.py",
        "if present.absent.get(name, 0.0) < ABSENT_SECONDS",
        "if present.absent.get(name, 0.0) <= 0.0",
        "test_assignment.py",
    ),
    _mutation(
        "an engine that loads gets another order",
        "weights/plan.py",
        "if report.loading or report.draining:\n        return None",
        "if report.draining:\n        return None",
        "test_weight_plan.py",
    ),
    _mutation(
        "all engines load at once",
        "weights/plan.py",
        "return min(turn * SPREAD_SECONDS, MOST_SPREAD_SECONDS)",
        "return 0.0",
        "test_weight_plan.py",
    ),
    _mutation(
        "engines that are far behind wait for their turn",
        "weights/plan.py",
        "if _lag(report, one) > AGREED_LAG + 1:",
        "if False:",
        "test_weight_plan.py",
    ),
    _mutation(
        "what may have run is sent again",
        "forwarding/steps.py",
        "if state.repeatable and state.may_send:\n"
        "        return SendAgain(outcome.reason)\n"
        "    return Fail(BAD_GATEWAY",
        "if state.may_send:\n"
        "        return SendAgain(outcome.reason)\n"
        "    return Fail(BAD_GATEWAY",
        "test_forwarding_steps.py",
    ),
    _mutation(
        "503 though it may have run",
        "forwarding/steps.py",
        "if may_have_run:\n        return Fail(BAD_GATEWAY, reason)",
        "if False:\n        return Fail(BAD_GATEWAY, reason)",
        "test_forwarding_steps.py",
    ),
    _mutation(
        "one target may take all of the time",
        "forwarding/steps.py",
        "return min(patience, state.seconds_left)",
        "return state.seconds_left",
        "test_forwarding_steps.py",
    ),
    _mutation(
        "draining targets get requests",
        "forwarding/placement.py",
        "if not view.draining and view.target.id not in excluded",
        "if view.target.id not in excluded",
        "test_forwarding_steps.py",
        "test_forwarding.py",
    ),
    _mutation(
        "a keyed request whose process has just started may have run",
        "forwarding/keyed.py",
        "elif now - missing_since >= MISSING_SECONDS:",
        "elif True:",
        "test_keyed.py",
    ),
    _mutation(
        "a key's record is written over",
        "forwarding/keyed.py",
        "(Expect(row_key, 0),), (Put(row_key, value, lease),)",
        "(), (Put(row_key, value, lease),)",
        "test_keyed.py",
    ),
    _mutation(
        "circuits never open in a row",
        "targets/circuit.py",
        "if circuit.consecutive >= self._settings.consecutive:",
        "if False:",
        "test_circuit.py",
    ),
    _mutation(
        "all targets of a service may be left",
        "targets/circuit.py",
        "return ejected < allowed",
        "return True",
        "test_circuit.py",
    ),
    _mutation(
        "reward calls take all places at once",
        "rollout/reward_order.py",
        "grown = min(1.0, max(0.0, waited) / FULL_AFTER_SECONDS)",
        "grown = 1.0",
        "test_reward_order.py",
    ),
    _mutation(
        "a reward call goes to the target that failed it",
        "rollout/reward_order.py",
        "return choose_target(fresh or with_room, (), failure_domain)",
        "return choose_target(with_room, (), failure_domain)",
        "test_reward_order.py",
    ),
    _mutation(
        "idle processes keep short leases",
        "coordination/membership.py",
        "if now - self._busy_at < IDLE_AFTER_SECONDS:",
        "if True:",
        "test_membership.py",
    ),
    _mutation(
        "a feed that knows nothing new is followed",
        "coordination/feed.py",
        "elif answer is not None and answer.age <= self._most_age:",
        "elif answer is not None:",
        "test_mirror.py",
        "test_store_relay.py",
    ),
    _mutation(
        "a relayed write that was lost counts as not made",
        "coordination/relay.py",
        "if in_doubt and isinstance(call, WriteCall | GrantCall):",
        "if False:",
        "test_store_relay.py",
    ),
    _mutation(
        "a failed attempt is repeated for ever",
        "rollout/after_run.py",
        "if run.state.failures >= run.progress.lot.max_attempts:",
        "if False:",
        "test_lot_runner.py",
        "test_entry_node.py",
    ),
    _mutation(
        "texts of weights that are too old are taken",
        "rollout/after_run.py",
        "    if _fits(run):\n        return TextWhole()",
        "    if True:\n        return TextWhole()",
        "test_lot_runner.py",
        "test_entry_node.py",
    ),
    _mutation(
        "a sealed disk takes an earlier owner's results",
        "spool/contents.py",
        "        if one is not None and call.fence < one.fence:",
        "        if False:",
        "test_spool.py",
    ),
    _mutation(
        "a later owner's results are joined to those of an earlier one",
        "spool/contents.py",
        "call.fence == one.writer",
        "call.fence == one.fence",
        "test_spool.py",
    ),
    _mutation(
        "results behind a gap are taken",
        "spool/contents.py",
        "        if call.position > call.kept:",
        "        if False:",
        "test_spool.py",
    ),
    _mutation(
        "results that a later owner has replaced are taken",
        "rollout/spooling.py",
        "    if list(items[:common]) != list(kept[position : position + common]):",
        "    if False:",
        "test_spool.py",
    ),
    _mutation(
        "results are shown that one disk lacks",
        "spool/client.py",
        "            if not isinstance(answer, Done):",
        "            if False:",
        "test_spooling.py",
    ),
    _mutation(
        "a Lot is ended without what is on the spool alone",
        "rollout/lots.py",
        "        if progress.owed <= len(progress.kept):",
        "        if True:",
        "test_spooling.py",
    ),
    _mutation(
        "an empty page where results may have been shown",
        "rollout/known_lots.py",
        "if after >= len(known.results) and not known.complete and not ended:",
        "if False:",
        "test_spooling.py",
    ),
    _mutation(
        "a Lot is run here again under one revision",
        "rollout/takeover.py",
        "again = self._runner.has_run(lot_id, revision)",
        "again = False",
        "test_spooling.py",
    ),
    _mutation(
        "results go to the spool while the store may yet answer",
        "rollout/spooling.py",
        "    if now - progress.writing_since < SPOOL_AFTER_SECONDS:",
        "    if False:",
        "test_spooling.py",
    ),
    _mutation(
        "a batch that is written twice counts for the next",
        "rollout/progress.py",
        "        if position == len(self.kept):",
        "        if True:",
        "test_result_keeper.py",
    ),
    _mutation(
        "what is given up is closed as if it were whole",
        "forwarding/connections.py",
        "            self.sock.setsockopt(*RESET_ON_CLOSE)",
        "            pass",
        "test_forwarding.py",
    ),
)
