//! One round for one planner: the choices of each job, in the paper's order.

use super::candidates::{Candidate, Room, SearchScope};
use super::{EPS, Estimate, log_normal_cdf, quality, sub_deadline, zone_allowed};
use crate::core::cost::CostMeter;
use crate::peer::{JobView, PlanInput, Waiting, ZoneCount};

pub(super) struct Planner<'a> {
    input: &'a PlanInput,
    /// Counts the places that jobs are compared with.
    meter: &'a CostMeter,
    pub(super) candidates: Vec<Candidate>,
    offers_left: Vec<u32>,
    cpus_left: std::collections::BTreeMap<u32, (f64, f64)>,
}

/// The places open to a job, the best first. Its tasks are alike, so they are compared when the
/// round comes to the job and again when none of those is left that passed both filters, not for
/// each task: room, budget and time only shrink within a round.
#[derive(Default)]
struct CandidateRanking {
    /// Place, cost, and whether it is in time.
    list: Vec<(usize, f64, bool)>,
    cheapest: f64,
    /// Before here, none has room and passes both filters any more.
    passing: usize,
    /// Before here, none has room any more.
    any: usize,
    /// None passed both filters when they were last compared.
    none_pass_filters: bool,
    built: bool,
}

/// A job's state within a round.
pub(super) struct JobProgress<'a> {
    pub(super) job: &'a JobView,
    estimates: Vec<Option<Estimate>>,
    pub(super) left: u32,
    cheapest: f64,
    spare: f64,
    due_s: f64,
    zones: Vec<ZoneCount>,
    pub(super) placed_on: std::collections::BTreeMap<u32, (u32, f64)>,
    pub(super) waiting: Waiting,
    rank: f64,
    order: CandidateRanking,
    /// Wider and wider as nothing that is up has room.
    scope: SearchScope,
}

impl JobProgress<'_> {
    /// Lowest goes first.
    pub(super) fn turn(&self) -> (bool, f64, f64, u32) {
        let left = self.job.slo_deadline_s.unwrap_or(self.due_s);
        let late = left < self.job.run_s;
        (late, if late { -self.job.age_s } else { left }, -self.rank, self.job.key)
    }
}

impl<'a> Planner<'a> {
    pub(super) fn new(input: &'a PlanInput, meter: &'a CostMeter) -> Planner<'a> {
        let mut p = Planner {
            input,
            meter,
            candidates: Vec::new(),
            offers_left: input.offers.iter().map(|o| o.most).collect(),
            cpus_left: input.teams.iter().map(|t| (t.team, (t.cpus, t.gpus))).collect(),
        };
        for m in &input.machines {
            p.candidates.push(Candidate {
                machine: Some(m.key),
                kind: m.kind as usize,
                zone: m.zone,
                spot: m.spot,
                up: m.up,
                gpus: input.types[m.kind as usize].gpus > EPS,
                urgent_headroom: Room { cpus: m.urgent_cpus, gpus: 0.0, memory_gb: m.urgent_memory_gb },
                preemptible_headroom: Room { cpus: m.preemptible_cpus, gpus: 0.0, memory_gb: m.preemptible_memory_gb },
                room: Room { cpus: m.free_cpus, gpus: m.free_gpus, memory_gb: m.free_memory_gb },
                offer: None,
                opened: false,
                load: 0.0,
                priority: 9,
            });
        }
        for o in 0..input.offers.len() {
            p.open(o);
        }
        p
    }

    /// Adds one machine of an offer to the places, not wanted by anyone yet.
    fn open(&mut self, o: usize) {
        if self.offers_left[o] == 0 {
            return;
        }
        self.offers_left[o] -= 1;
        let offer = &self.input.offers[o];
        let t = &self.input.types[offer.kind as usize];
        self.candidates.push(Candidate {
            machine: None,
            kind: offer.kind as usize,
            zone: offer.zone,
            spot: offer.spot,
            up: false,
            gpus: false,
            urgent_headroom: Room { cpus: 0.0, gpus: 0.0, memory_gb: 0.0 },
            preemptible_headroom: Room { cpus: 0.0, gpus: 0.0, memory_gb: 0.0 },
            room: Room { cpus: t.cpus, gpus: t.gpus, memory_gb: t.memory_gb },
            offer: Some(o),
            opened: false,
            load: 0.0,
            priority: 9,
        });
    }

    fn estimate_in_scope(&self, j: &JobView, i: usize, scope: SearchScope) -> Option<Estimate> {
        let pl = &self.candidates[i];
        let gpus = self.input.types[pl.kind].gpus > EPS;
        if gpus && j.service && j.gpus <= EPS && j.types.is_empty() && (scope == SearchScope::Plain || !pl.up) {
            return None;
        }
        self.estimate(j, i)
    }

    pub(super) fn activate(&self, j: &'a JobView) -> JobProgress<'a> {
        self.meter.add_choices(self.candidates.len());
        let scope = if j.service { SearchScope::Plain } else { SearchScope::Spare };
        let estimates: Vec<Option<Estimate>> =
            (0..self.candidates.len()).map(|i| self.estimate_in_scope(j, i, scope)).collect();
        let known = || estimates.iter().flatten();
        let cheapest = known().map(|c| c.cost).fold(f64::INFINITY, f64::min);
        let dearest = known().map(|c| c.cost).fold(0.0, f64::max);
        let span = known().filter(|c| c.cost <= cheapest + EPS).map(|c| c.finish_s).fold(f64::INFINITY, f64::min);
        // Average time over the places stands for the average execution time of eq. 1.
        let n = known().count().max(1) as f64;
        let rank = known().map(|c| c.finish_s).sum::<f64>() / n + j.successors_s;
        // Budget = cheapest + B x (dearest - cheapest) for all tasks (ours), less what was spent.
        let spare = if cheapest.is_finite() {
            (self.input.budget_share * (dearest - cheapest) * j.tasks as f64 - j.overspent).max(0.0)
        } else {
            0.0
        };
        // Jobs without a deadline get twice their cheapest make span (ours).
        let due_s = j.due_s.unwrap_or(2.0 * span - j.age_s);
        JobProgress {
            job: j,
            estimates,
            left: j.ready,
            cheapest,
            spare,
            due_s,
            zones: j.placed.clone(),
            placed_on: Default::default(),
            waiting: Waiting { job: j.key, ..Default::default() },
            rank,
            order: CandidateRanking::default(),
            scope,
        }
    }

    /// Time, cost and reliability of a place for a job; none if the job may not go there.
    pub(super) fn estimate(&self, j: &JobView, i: usize) -> Option<Estimate> {
        let pl = &self.candidates[i];
        let t = &self.input.types[pl.kind];
        let full = Room { cpus: t.cpus, gpus: t.gpus, memory_gb: t.memory_gb };
        let m = pl.machine.map(|_| &self.input.machines[i]);
        if !full.fits(j)
            || (!j.types.is_empty() && !j.types.contains(&(pl.kind as u32)))
            || j.zone.is_some_and(|z| z != pl.zone)
            || (pl.spot && !j.spot)
            || (pl.offer.is_some() && (!j.may_scale_out || (pl.spot && !j.new_spot)))
            || m.is_some_and(|m| j.avoid.contains(&m.key))
        {
            return None;
        }
        // GPU machines are not rented for work without, while others are to be had for it (ours).
        let plain = |o: &crate::peer::ProvisionOffer| {
            let k = &self.input.types[o.kind as usize];
            let room = Room { cpus: k.cpus, gpus: k.gpus, memory_gb: k.memory_gb };
            let allowed = j.types.is_empty() || j.types.contains(&o.kind);
            k.gpus <= EPS && allowed && room.fits(j) && (j.new_spot || !o.spot)
        };
        if pl.offer.is_some() && t.gpus > EPS && j.gpus <= EPS && self.input.offers.iter().any(plain) {
            return None;
        }
        let ready_s = m.map_or(t.boot_s, |m| m.ready_s);
        let cached = m.and_then(|m| m.images.iter().find(|x| x.image == j.image));
        let fetch_s = match cached {
            Some(x) => x.ready_s,
            None => {
                // Fetches share the machine's rate.
                let others = m.map_or(0.0, |m| m.images.iter().map(|x| x.ready_s).fold(0.0, f64::max));
                others + j.image_gb / t.fetch_gb_per_s.max(0.01)
            }
        };
        let run_s = j.run_s * m.map_or(1.0, |m| m.slowness.max(0.1));
        let start_s = ready_s + fetch_s;
        let share = |room: f64, need: f64| if room > EPS { need / room } else { 0.0 };
        let share = share(t.cpus, j.cpus).max(share(t.gpus, j.gpus)).max(share(t.memory_gb, j.memory_gb));
        let hourly = if pl.spot { t.spot_price } else { t.price };
        // A new machine's boot is paid by the tasks that share it, and it costs 60 s at least (ours).
        let boot = if pl.offer.is_some() {
            let sharing = (1.0 / share.max(EPS)).floor().clamp(1.0, j.ready.max(1) as f64);
            t.boot_s.max(60.0 - fetch_s - run_s) / sharing
        } else {
            0.0
        };
        let cost = hourly / 3600.0 * (share * (fetch_s + run_s) + boot);
        let finish_s = start_s + run_s;
        let reliability = if pl.spot {
            let age = m.map_or(0.0, |m| m.age_s);
            1.0 - log_normal_cdf(age + finish_s, self.input.spot_mu, self.input.spot_sigma)
        } else {
            1.0
        };
        Some(Estimate { finish_s, start_s, cost, reliability, spot: pl.spot })
    }

    fn has_room(&self, a: &JobProgress, i: usize) -> bool {
        self.candidates[i].fits(a.job, a.scope)
    }

    /// Whether a place that is up is open to the job.
    fn some_is_up(&self, a: &mut JobProgress) -> bool {
        if !a.order.built {
            self.compare(a);
        }
        // Room only shrinks: what was found before is looked at first.
        let open =
            |(i, _, _): &(usize, f64, bool)| self.candidates[*i].up && self.has_room(a, *i) && self.may_be_in(a, *i);
        a.order.list[a.order.any..].iter().any(open)
    }

    fn may_be_in(&self, a: &JobProgress, i: usize) -> bool {
        zone_allowed(a.job.spread, a.job.one_zone, a.job.tasks, &a.zones, self.candidates[i].zone)
    }

    /// The place of the highest quality for the job's next task (paper, lines 10-16).
    fn best(&self, a: &mut JobProgress) -> Option<usize> {
        if !a.order.built {
            self.compare(a);
        }
        loop {
            if !a.order.none_pass_filters {
                let found = self.first(a, a.order.passing, true);
                a.order.passing = found.unwrap_or(a.order.list.len());
                if let Some(at) = found {
                    return Some(a.order.list[at].0);
                }
                self.compare(a);
                if !a.order.none_pass_filters {
                    continue;
                }
            }
            let found = self.first(a, a.order.any, false);
            a.order.any = found.unwrap_or(a.order.list.len());
            return found.map(|at| a.order.list[at].0);
        }
    }

    /// Where in the job's order the first place from `from` on is that is still open to it.
    fn first(&self, a: &JobProgress, from: usize, filters: bool) -> Option<usize> {
        let most = a.order.cheapest + a.spare + EPS;
        let passes = |cost: f64, in_time: bool| !filters || in_time && cost <= most;
        let rest = a.order.list[from..].iter();
        rest.enumerate()
            .find(|(_, (i, cost, in_time))| passes(*cost, *in_time) && self.has_room(a, *i) && self.may_be_in(a, *i))
            .map(|(n, _)| from + n)
    }

    /// Enters a machine of an offer that was opened since: behind the one opened before it, which
    /// is its equal.
    fn enter_opened(&self, a: &mut JobProgress, i: usize) {
        self.meter.add_choices(1);
        // Others may have filled it already, and room only shrinks.
        if !self.has_room(a, i) {
            return;
        }
        let Some(c) = &a.estimates[i] else { return };
        let offer = self.candidates[i].offer;
        let Some(at) = a.order.list.iter().rposition(|(o, _, _)| self.candidates[*o].offer == offer) else {
            a.order.built = false;
            return;
        };
        self.meter.add_choices(a.order.list.len() - at);
        let in_time = a.order.list[at].2;
        a.order.list.insert(at + 1, (i, c.cost, in_time));
        a.order.passing = a.order.passing.min(at + 1);
        a.order.any = a.order.any.min(at + 1);
    }

    /// Puts the places open to the job in order of quality.
    fn compare(&self, a: &mut JobProgress) {
        self.meter.add_choices(a.estimates.len());
        let open: Vec<usize> = (0..a.estimates.len())
            .filter(|i| a.estimates[*i].is_some() && self.has_room(a, *i) && self.may_be_in(a, *i))
            .collect();
        let all = || open.iter().filter_map(|i| a.estimates[*i].as_ref().map(|c| (*i, c)));
        let first =
            Estimate { finish_s: f64::INFINITY, cost: f64::INFINITY, start_s: 0.0, reliability: 0.0, spot: false };
        let (mut lo, mut hi) = (first, Estimate { finish_s: 0.0, cost: 0.0, ..first });
        for (_, c) in all() {
            lo.finish_s = lo.finish_s.min(c.finish_s);
            lo.cost = lo.cost.min(c.cost);
            hi.finish_s = hi.finish_s.max(c.finish_s);
            hi.cost = hi.cost.max(c.cost);
        }
        let in_time = |c: &Estimate| c.finish_s <= sub_deadline(a.due_s, a.job.run_s, c.spot) + EPS;
        // Qualities that differ by less than EPS are equal: then the first place goes first.
        let mut list: Vec<(i64, (usize, f64, bool))> =
            all().map(|(i, c)| ((-quality(c, &lo, &hi) / EPS) as i64, (i, c.cost, in_time(c)))).collect();
        list.sort_by_key(|(q, _)| *q);
        let passes = |(_, cost, in_time): &(usize, f64, bool)| *in_time && *cost <= lo.cost + a.spare + EPS;
        a.order = CandidateRanking {
            none_pass_filters: !list.iter().any(|(_, p)| passes(p)),
            list: list.into_iter().map(|(_, p)| p).collect(),
            cheapest: lo.cost,
            passing: 0,
            any: 0,
            built: true,
        };
    }

    /// Places the job's next task, or the whole gang: on machines that are up (true) or not all
    /// (false). None: nothing is open to it.
    pub(super) fn place_next(&mut self, a: &mut JobProgress) -> Option<bool> {
        if a.job.service && a.job.gpus <= EPS {
            for scope in [SearchScope::Spare, SearchScope::Any] {
                if a.scope >= scope || self.some_is_up(a) {
                    continue;
                }
                a.scope = scope;
                a.estimates = (0..self.candidates.len()).map(|i| self.estimate_in_scope(a.job, i, scope)).collect();
                a.order.built = false;
            }
        }
        let n = if a.job.gang { a.left } else { 1 };
        let left = self.cpus_left.get(&a.job.team).copied().unwrap_or((f64::INFINITY, f64::INFINITY));
        if a.job.cpus * n as f64 > left.0 + EPS || a.job.gpus * n as f64 > left.1 + EPS {
            return None;
        }
        let mut chosen = self.choose(a, n);
        if chosen.is_none() && a.job.gang && a.job.one_zone {
            // The best place of all may be in a zone that can't hold the gang: then the others.
            let mut zones: Vec<u32> = self.candidates.iter().map(|p| p.zone).collect();
            zones.sort_unstable();
            zones.dedup();
            for zone in zones {
                a.zones = vec![ZoneCount { zone, count: 1 }];
                a.order.built = false;
                chosen = self.choose(a, n);
                if chosen.is_some() {
                    break;
                }
            }
        }
        let chosen = chosen?;
        if let Some(l) = self.cpus_left.get_mut(&a.job.team) {
            l.0 -= a.job.cpus * n as f64;
            l.1 -= a.job.gpus * n as f64;
        }
        let all_up = chosen.iter().all(|i| self.candidates[*i].up && self.candidates[*i].machine.is_some());
        for i in chosen {
            let t = &self.input.types[self.candidates[i].kind];
            let pl = &mut self.candidates[i];
            let c = a.estimates[i].unwrap_or(Estimate {
                finish_s: 0.0,
                start_s: 0.0,
                cost: 0.0,
                reliability: 0.0,
                spot: false,
            });
            let extra = (c.cost - a.cheapest).max(0.0);
            a.spare = (a.spare - extra).max(0.0);
            if pl.offer.is_some() {
                let part = |room: f64, need: f64| if room > EPS { need / room } else { 0.0 };
                pl.load +=
                    part(t.cpus, a.job.cpus).max(part(t.gpus, a.job.gpus)).max(part(t.memory_gb, a.job.memory_gb));
                pl.priority = pl.priority.min(a.job.priority);
            }
            match (all_up, pl.machine) {
                (true, Some(key)) => {
                    let placed_on = a.placed_on.entry(key).or_default();
                    placed_on.0 += 1;
                    placed_on.1 += extra;
                }
                _ => {
                    a.waiting.count += 1;
                    a.waiting.on_spot |= pl.spot && !pl.up;
                    a.waiting.finish_s = a.waiting.finish_s.max(c.finish_s);
                    a.waiting.ready_s = a.waiting.ready_s.max(c.start_s);
                }
            }
        }
        a.left -= n;
        Some(all_up)
    }

    /// Takes room for `n` tasks, all or none.
    fn choose(&mut self, a: &mut JobProgress, n: u32) -> Option<Vec<usize>> {
        let mut chosen = Vec::new();
        for _ in 0..n {
            // Offers opened since the job was looked at.
            for i in a.estimates.len()..self.candidates.len() {
                a.estimates.push(self.estimate_in_scope(a.job, i, a.scope));
                self.enter_opened(a, i);
            }
            let Some(i) = self.best(a) else { break };
            self.candidates[i].take(a.job);
            add_to_zone(&mut a.zones, self.candidates[i].zone, 1);
            chosen.push(i);
            if let (Some(o), false) = (self.candidates[i].offer, self.candidates[i].opened) {
                self.candidates[i].opened = true;
                self.open(o);
            }
        }
        if chosen.len() == n as usize {
            return Some(chosen);
        }
        // Room that was taken for the rest is given back.
        a.order.built = false;
        for i in chosen {
            self.candidates[i].give_back(a.job);
            if self.candidates[i].offer.is_some() && self.candidates[i].load <= EPS {
                self.candidates[i].opened = false;
            }
        }
        a.zones = a.job.placed.clone();
        None
    }
}

fn add_to_zone(zones: &mut Vec<ZoneCount>, zone: u32, by: u32) {
    match zones.iter_mut().find(|z| z.zone == zone) {
        Some(z) => z.count += by,
        None => zones.push(ZoneCount { zone, count: by }),
    }
}
