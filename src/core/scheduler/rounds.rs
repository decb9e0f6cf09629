//! Planning rounds. In each round the leader takes one view of the cluster, has every controller plan for the
//! teams of its shard, and merges and commits the plans.

use super::effects::Effect;
use super::planner_view::{PlannerView, partition_view};
use super::{PLAN_TIMEOUT, Scheduler};
use crate::core::placement;
use crate::core::shards::ShardMove;
use crate::ids::Term;
use crate::peer::{PlanInput, PlanOutput, VERSION};
use crate::time::{Millis, MonotonicTime, WallTime};
use log::{debug, info};
use std::collections::BTreeMap;
use std::sync::Arc;

/// A planning round whose plans are not committed yet.
pub(super) struct OpenRound {
    view: PlannerView,
    plans: Vec<PlanOutput>,
    /// The input of each peer that has not returned its plan, by peer name.
    pending_inputs: BTreeMap<String, Arc<PlanInput>>,
    /// From this time on the leader itself plans for the peers that have not returned a plan.
    deadline: MonotonicTime,
}

impl OpenRound {
    /// Whether a plan is for this round and term, and of this controller's message version.
    fn expects(&self, term: Term, plan: &PlanOutput) -> bool {
        (plan.version, plan.term, plan.round) == (VERSION, term.0, self.view.input.round)
    }

    /// Whether all plans have arrived or the deadline has passed.
    fn is_due(&self, now: MonotonicTime) -> bool {
        self.pending_inputs.is_empty() || now >= self.deadline
    }

    /// The view and the merged plans. Planners do not know of each other's placements, which may therefore conflict.
    /// Placements of more urgent jobs come first, so that they are committed before conflicting ones.
    fn into_merged_plan(self) -> (PlannerView, PlanOutput) {
        let mut plan = PlanOutput::default();
        for output in self.plans {
            plan.placements.extend(output.placements);
            plan.scale_out.extend(output.scale_out);
            plan.waiting.extend(output.waiting);
        }
        let urgency = |key: u32| {
            let job = self.view.input.jobs.get(key as usize);
            job.map_or((u32::MAX, true), |job| (job.priority, !job.guaranteed))
        };
        plan.placements.sort_by_key(|placement| urgency(placement.job));
        plan.waiting.sort_by_key(|waiting| urgency(waiting.job));
        (self.view, plan)
    }
}

/// A planning round starts this long after the start of the last one even if nothing has changed.
const IDLE_ROUND_INTERVAL: Millis = Millis(1_000);

/// State of this leader's planning rounds.
pub(super) struct Rounds {
    /// Whether something that planning depends on has changed since the last round.
    requested: bool,
    /// When the last round started.
    last_started: MonotonicTime,
    /// Number of planning rounds that this leader has started.
    count: u64,
    /// The round that is being planned.
    open: Option<OpenRound>,
}

impl Rounds {
    /// Creates the state in which no planning round has started and the first one is requested.
    pub(super) fn new(now: MonotonicTime) -> Rounds {
        Rounds { requested: true, last_started: now, count: 0, open: None }
    }

    /// Requests a planning round, as something that planning depends on has changed.
    pub(super) fn request(&mut self) {
        self.requested = true;
    }

    /// Number of planning rounds that this leader has started, which is also the number of the last round.
    pub(super) fn count(&self) -> u64 {
        self.count
    }

    /// Whether a planning round should start: none is open, the last one started at least `interval` ago, and one was
    /// requested since or [`IDLE_ROUND_INTERVAL`] has passed.
    pub(super) fn is_due(&self, now: MonotonicTime, interval: Millis) -> bool {
        let since_last = now - self.last_started;
        let is_needed = self.requested || since_last >= IDLE_ROUND_INTERVAL;
        self.open.is_none() && since_last >= interval && is_needed
    }

    /// Records the start of a round.
    fn begin(&mut self, now: MonotonicTime) {
        self.last_started = now;
        self.requested = false;
        self.count += 1;
    }

    /// Takes the open round if all its plans have arrived or its deadline has passed.
    fn take_due(&mut self, now: MonotonicTime) -> Option<OpenRound> {
        self.open.take_if(|round| round.is_due(now))
    }
}

impl Scheduler {
    /// Starts a planning round: sends each peer the jobs of its shard's teams, and plans for the jobs of the leader's
    /// own shard.
    pub(super) fn start_round(&mut self, now: MonotonicTime, wall: WallTime) {
        self.rounds.begin(now);
        // Capacity for large gangs is reserved before the view is taken, as the round would otherwise place tasks of
        // other jobs on the capacity that these gangs wait for.
        self.reserve_for_large_gangs(now, wall);
        self.update_inherited_constraints(wall);
        let view = self.planner_view(now, wall);
        let jobs_by_planner = self.jobs_by_planner(now, &view);
        let keys: Vec<&[u32]> = jobs_by_planner.values().map(Vec::as_slice).collect();
        let mut inputs = partition_view(&view.input, &keys);
        // The leader's own input: its key in `jobs_by_planner` is `None`, which sorts first.
        let own_input = inputs.remove(0);
        let mut pending_inputs = BTreeMap::new();
        for (node, input) in jobs_by_planner.into_keys().flatten().zip(inputs) {
            let input = Arc::new(input);
            self.effects.push(Effect::Plan { node: node.clone(), input: input.clone() });
            pending_inputs.insert(node, input);
        }
        let plans = vec![placement::plan_metered(&own_input, &self.meter)];
        self.rounds.open = Some(OpenRound { view, plans, pending_inputs, deadline: now + PLAN_TIMEOUT });
        self.close_round(now);
    }

    /// The keys of the view's jobs, by the peer that plans for them. The entry for `None` holds the jobs that this
    /// leader plans itself, and is always present.
    fn jobs_by_planner(&mut self, now: MonotonicTime, view: &PlannerView) -> BTreeMap<Option<String>, Vec<u32>> {
        let mut jobs_by_planner: BTreeMap<Option<String>, Vec<u32>> = BTreeMap::from([(None, Vec::new())]);
        for job in &view.input.jobs {
            self.shards.record_load(job.team, job.ready_tasks);
            let planner = self.shards.planner_for(job.team, now).map(str::to_string);
            jobs_by_planner.entry(planner).or_default().push(job.key);
        }
        jobs_by_planner
    }

    /// Handles a peer's reply to a plan request. A plan for another round, term or message version is dropped. `plan`
    /// is `None` if the request failed; the round then waits for no peer any longer, and the leader plans for all that
    /// have not replied.
    pub fn on_plan(&mut self, now: MonotonicTime, node: &str, plan: Option<PlanOutput>) {
        let Some(round) = &mut self.rounds.open else { return };
        match plan {
            Some(plan) if round.expects(self.term, &plan) => {
                if round.pending_inputs.remove(node).is_some() {
                    round.plans.push(plan);
                    self.shards.mark_responsive(node, now);
                }
            }
            Some(plan) => debug!("dropping unexpected plan: node={node} round={} term={}", plan.round, plan.term),
            None => round.deadline = now,
        }
        self.close_round(now);
    }

    /// Commits the open round once all plans have arrived. After the deadline, each call plans for one of the
    /// peers that have not returned a plan; planning for all of them in one call would block other inputs.
    pub(super) fn close_round(&mut self, now: MonotonicTime) {
        let Some(mut round) = self.rounds.take_due(now) else { return };
        if let Some((node, input)) = round.pending_inputs.pop_first() {
            debug!("peer has not returned its plan in time, planning its jobs locally: node={node}");
            self.shards.mark_unresponsive(&node);
            round.plans.push(placement::plan_metered(&input, &self.meter));
        }
        if !round.pending_inputs.is_empty() {
            self.rounds.open = Some(round);
            return;
        }
        let (view, plan) = round.into_merged_plan();
        self.commit_plan(now, &view, &plan);
    }

    /// Whether a round is waiting for plans of peers.
    pub fn has_open_round(&self) -> bool {
        self.rounds.open.is_some()
    }

    /// Drops the open round, as this leader's term is not active: otherwise plans made on a view that is out of
    /// date by then could be committed once the term is active again.
    pub fn abandon_round(&mut self) {
        if let Some(round) = self.rounds.open.take() {
            info!("round abandoned: round={} term={}", round.view.input.round, self.term);
            self.rounds.request();
        }
    }

    /// Notes that a peer has responded, so that it may be assigned teams to plan for.
    pub fn mark_peer_responsive(&mut self, now: MonotonicTime, node: &str) {
        self.shards.mark_responsive(node, now);
    }

    /// Moves teams between controllers to balance their measured load, and marks the assignment to be stored.
    pub(super) fn rebalance_shards(&mut self, now: MonotonicTime) {
        for ShardMove { team, from, to } in self.shards.rebalance(now) {
            info!("shard moved: team={} from={from} to={to}", self.quota.team_names()[team as usize]);
            self.writes.set_shards_unsaved();
        }
    }
}
