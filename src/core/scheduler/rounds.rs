//! Rounds of decisions: what planners are given, and when their plans are merged and committed.

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

/// A round whose parts are planned by several controllers.
pub(super) struct OpenRound {
    view: PlannerView,
    outputs: Vec<PlanOutput>,
    /// Peers that haven't answered, with their parts.
    unanswered: BTreeMap<String, Arc<PlanInput>>,
    /// The leader plans itself what hasn't been answered by then.
    deadline: MonotonicTime,
}

impl OpenRound {
    /// Whether a peer planned for this round of this term, in this version of the messages.
    fn expects(&self, term: Term, output: &PlanOutput) -> bool {
        (output.version, output.term, output.round) == (VERSION, term.0, self.view.input.round)
    }

    /// Whether it isn't worth waiting for peers any longer.
    fn is_due(&self, now: MonotonicTime) -> bool {
        self.unanswered.is_empty() || now >= self.deadline
    }

    /// The view and the plans of all its parts as one. The parts were planned apart: where they clash, the
    /// more urgent job goes first.
    fn into_merged_plan(self) -> (PlannerView, PlanOutput) {
        let mut plan = PlanOutput::default();
        for output in self.outputs {
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

/// A round is planned after this time even if nothing has changed.
const IDLE_ROUND_INTERVAL: Millis = Millis(1_000);

/// The rounds of this leader.
pub(super) struct Rounds {
    /// Something has changed since the last round.
    needed: bool,
    /// When the last round began.
    last_at: MonotonicTime,
    /// How many rounds have begun.
    count: u64,
    /// The round whose parts are being planned.
    open: Option<OpenRound>,
}

impl Rounds {
    /// No round yet; the first one is needed.
    pub(super) fn new(now: MonotonicTime) -> Rounds {
        Rounds { needed: true, last_at: now, count: 0, open: None }
    }

    /// Something has changed that a round is needed for.
    pub(super) fn request(&mut self) {
        self.needed = true;
    }

    /// Number of the last round, which is how many have begun.
    pub(super) fn count(&self) -> u64 {
        self.count
    }

    /// Whether a round is to begin: none is open, the last one began at least `interval` ago, and something has
    /// changed since, or nothing for long.
    pub(super) fn is_due(&self, now: MonotonicTime, interval: Millis) -> bool {
        let since_last = now - self.last_at;
        let is_needed = self.needed || since_last >= IDLE_ROUND_INTERVAL;
        self.open.is_none() && since_last >= interval && is_needed
    }

    /// Counts a round that begins.
    fn begin(&mut self, now: MonotonicTime) {
        self.last_at = now;
        self.needed = false;
        self.count += 1;
    }

    /// Takes out the open round if its plans are there or late.
    fn take_due(&mut self, now: MonotonicTime) -> Option<OpenRound> {
        self.open.take_if(|round| round.is_due(now))
    }
}

impl Scheduler {
    /// Starts a round: each controller plans for the teams of its shard, all on the same view.
    pub(super) fn round(&mut self, now: MonotonicTime, wall: WallTime) {
        self.rounds.begin(now);
        // First, or the round would give away what has just become free.
        self.reserve_for_large_gangs(now, wall);
        self.inherit(wall);
        let view = self.planner_view(now, wall);
        let parts = self.jobs_by_planner(now, &view);
        let keys: Vec<&[u32]> = parts.values().map(Vec::as_slice).collect();
        let mut inputs = partition_view(&view.input, &keys);
        // The leader's own part has no name, and so is the first.
        let own = inputs.remove(0);
        let mut unanswered = BTreeMap::new();
        for (node, part) in parts.into_keys().flatten().zip(inputs) {
            let part = Arc::new(part);
            self.effects.push(Effect::Plan { node: node.clone(), input: part.clone() });
            unanswered.insert(node, part);
        }
        let outputs = vec![placement::plan_metered(&own, &self.cost)];
        self.rounds.open = Some(OpenRound { view, outputs, unanswered, deadline: now + PLAN_TIMEOUT });
        self.close_round(now);
    }

    /// The keys of a view's jobs by the peer that plans for them; none: this leader, which always has a part.
    fn jobs_by_planner(&mut self, now: MonotonicTime, view: &PlannerView) -> BTreeMap<Option<String>, Vec<u32>> {
        let mut parts: BTreeMap<Option<String>, Vec<u32>> = BTreeMap::from([(None, Vec::new())]);
        for job in &view.input.jobs {
            self.shards.record_load(job.team, job.ready);
            let planner = self.shards.planner_for(job.team, now).map(str::to_string);
            parts.entry(planner).or_default().push(job.key);
        }
        parts
    }

    /// A peer's plan. One of another round, term or version is dropped. None: the peer can't plan, and the round
    /// waits for nobody any more.
    pub fn on_plan(&mut self, now: MonotonicTime, node: &str, plan: Option<PlanOutput>) {
        let Some(round) = &mut self.rounds.open else { return };
        match plan {
            Some(output) if round.expects(self.term, &output) => {
                if round.unanswered.remove(node).is_some() {
                    round.outputs.push(output);
                    self.shards.mark_responsive(node, now);
                }
            }
            Some(output) => debug!("plan dropped: node={node} round={} term={}", output.round, output.term),
            None => round.deadline = now,
        }
        self.close_round(now);
    }

    /// Commits the round once all parts are there, or the leader has planned those that are late. It plans one
    /// of them for each input: planning for all peers at once would hold up everything else.
    pub(super) fn close_round(&mut self, now: MonotonicTime) {
        let Some(mut round) = self.rounds.take_due(now) else { return };
        if let Some((node, part)) = round.unanswered.pop_first() {
            debug!("peer's plan is late, planned here: node={node}");
            self.shards.mark_unresponsive(&node);
            round.outputs.push(placement::plan_metered(&part, &self.cost));
        }
        if !round.unanswered.is_empty() {
            self.rounds.open = Some(round);
            return;
        }
        let (view, plan) = round.into_merged_plan();
        self.commit_plan(now, &view, &plan);
    }

    /// Whether a round waits for the plans of peers.
    pub fn has_open_round(&self) -> bool {
        self.rounds.open.is_some()
    }

    /// This leader's term isn't active for now: the open round is dropped, so that what it was planned on is not
    /// committed later.
    pub fn abandon_round(&mut self) {
        if let Some(round) = self.rounds.open.take() {
            info!("round abandoned: round={} term={}", round.view.input.round, self.term);
            self.rounds.request();
        }
    }

    /// A peer has answered something: it may be given teams to plan for.
    pub fn peer_answered(&mut self, now: MonotonicTime, node: &str) {
        self.shards.mark_responsive(node, now);
    }

    /// Moves teams among the controllers by their measured load, and has the assignment stored.
    pub(super) fn rebalance_shards(&mut self, now: MonotonicTime) {
        for ShardMove { team, from, to } in self.shards.rebalance(now) {
            info!("shard moved: team={} from={from} to={to}", self.quota.team_names()[team as usize]);
            self.writes.set_shards_unsaved();
        }
    }
}
