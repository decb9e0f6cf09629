//! Several controllers that run for leader, hold on and pass on cancellations, against a slow plain
//! model of the state service, the users and one worker for each job. It checks at every step that at
//! most one of them acts, and that a cancelled task is gone in time.

use super::cancellations::Cancellations;
use super::election::Election;
use crate::ids::{JobId, LeaseId, Revision, Term};
use crate::time::{Millis, MonotonicTime};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};

const STEP: u64 = 50;
const TTL: u64 = 3_500;
const LEASE: u64 = 10_000;
const CANCEL: u64 = 30_000;
const NODES: usize = 4;

struct Controller {
    /// When this process began; its clock counts from there.
    began: u64,
    election: Election,
    cancellations: Cancellations,
    frozen_until: u64,
    refused_until: u64,
    /// Cut off from its peers.
    cut_until: u64,
    /// Its watch of live jobs says nothing.
    stalled_until: u64,
    next_look: u64,
    next_read: u64,
    /// What it knows, as leader, to be cancelled.
    known: BTreeSet<JobId>,
    loaded: bool,
}

/// An answer to a hello that is under way: to whom, asked when, and from whom.
struct Answer {
    at: u64,
    to: usize,
    began: u64,
    asked_at: u64,
    pledges: Vec<Option<(Millis, Vec<JobId>)>>,
}

struct Worker {
    job: JobId,
    reports_to: usize,
    token: u64,
    answered_sent: u64,
    next_heartbeat: u64,
    runs: bool,
}

struct World {
    rng: StdRng,
    now: u64,
    revision: u64,
    /// Who holds the leader's key, under which lease.
    key: Option<(usize, u64)>,
    /// Leases and when they end.
    leases: BTreeMap<u64, u64>,
    outage_until: u64,
    controllers: Vec<Controller>,
    workers: Vec<Worker>,
    cancelled: BTreeMap<JobId, u64>,
    /// Cancellations that are committed, and whose answer is on its way to a controller.
    under_way: Vec<(u64, usize, u64, JobId, u64)>,
    told: BTreeMap<JobId, u64>,
    answers: Vec<Answer>,
    extended: u64,
    carried: u64,
    /// The latest term that anybody has acted for.
    last_term: u64,
}

fn controller(began: u64) -> Controller {
    Controller {
        began,
        election: Election::new(Millis(TTL), Millis((CANCEL - LEASE) * 6 / 10)),
        cancellations: Cancellations::default(),
        frozen_until: 0,
        refused_until: 0,
        cut_until: 0,
        stalled_until: 0,
        next_look: began,
        next_read: 0,
        known: BTreeSet::new(),
        loaded: false,
    }
}

impl Controller {
    fn clock(&self, t: u64) -> MonotonicTime {
        MonotonicTime(t.saturating_sub(self.began))
    }
}

impl World {
    fn new(seed: u64) -> World {
        let mut rng = StdRng::seed_from_u64(seed);
        let workers = (0..60)
            .map(|n| Worker {
                job: JobId::parse(&format!("req-{n:06}")).unwrap(),
                reports_to: rng.random_range(0..NODES),
                token: 0,
                answered_sent: 0,
                next_heartbeat: rng.random_range(0..1_500),
                runs: true,
            })
            .collect();
        World {
            rng,
            now: 0,
            revision: 1,
            key: None,
            leases: BTreeMap::new(),
            outage_until: 0,
            controllers: (0..NODES).map(|_| controller(0)).collect(),
            workers,
            cancelled: BTreeMap::new(),
            under_way: Vec::new(),
            told: BTreeMap::new(),
            answers: Vec::new(),
            extended: 0,
            carried: 0,
            last_term: 0,
        }
    }

    fn chance(&mut self, p: f64) -> bool {
        self.rng.random::<f64>() < p
    }

    fn served(&self, n: usize) -> bool {
        self.now >= self.outage_until && self.now >= self.controllers[n].refused_until
    }

    fn leader(&self) -> Option<usize> {
        let acts = |c: &Controller| c.election.active_term(c.clock(self.now)).is_some();
        self.controllers.iter().position(acts)
    }

    fn step_leases(&mut self) {
        let now = self.now;
        if now < self.outage_until {
            // After an outage all leases regain their full time.
            self.leases.values_mut().for_each(|end| *end = (*end).max(self.outage_until + TTL));
            return;
        }
        self.leases.retain(|_, end| *end > now);
        if self.key.is_some_and(|(_, lease)| !self.leases.contains_key(&lease)) {
            self.key = None;
            self.revision += 1;
        }
    }

    /// A look of one controller: at the key, for a bid, or to renew.
    fn look(&mut self, n: usize) {
        let now = self.now;
        let served = self.served(n);
        let c = &mut self.controllers[n];
        if served {
            c.election.store_answered()
        } else {
            c.election.store_refused()
        }
        if served {
            c.cancellations.at_revision(Revision(self.revision));
        }
        let asked_at = c.clock(now.saturating_sub(30));
        if let Some(leader_lease) = c.election.lease() {
            c.next_look = now + 600;
            if served {
                match self.leases.get_mut(&leader_lease.id.0) {
                    Some(end) => {
                        *end = (*end).max(now + TTL);
                        c.election.renewed(asked_at);
                    }
                    None => c.election.step_down(),
                }
            } else {
                c.next_look = now + 100;
                self.hold_on(n);
            }
            return;
        }
        c.next_look = now + 350;
        if !served {
            return;
        }
        match self.key {
            // An earlier process here led.
            Some((k, lease)) if k == n => {
                self.leases.remove(&lease);
                self.key = None;
                self.revision += 1;
            }
            Some(_) => {}
            None if c.election.may_stand(c.clock(now), self.revision > 1) => {
                self.revision += 1;
                let lease = self.revision;
                self.leases.insert(lease, now + TTL);
                self.key = Some((n, lease));
                c.election.elected(Term(lease), LeaseId(lease), asked_at);
                c.loaded = false;
                c.next_read = now + 200;
            }
            None => {}
        }
    }

    fn hold_on(&mut self, n: usize) {
        let c = &self.controllers[n];
        let Some(leader_lease) = c.election.lease().filter(|_| c.loaded) else { return };
        let mut pledges = Vec::new();
        for p in (0..NODES).filter(|p| *p != n) {
            let cut = self.now < self.controllers[n].cut_until.max(self.controllers[p].cut_until);
            let lost = cut || self.rng.random::<f64>() < 0.02;
            let c = &mut self.controllers[p];
            let clock = c.clock(self.now);
            let pledge = c.election.pledge_to(clock, leader_lease.term, leader_lease.read_through, &c.cancellations);
            pledges.push(pledge.ok().filter(|_| !lost && self.now >= c.frozen_until).map(|p| (p.span, p.cancelled)));
        }
        let at = self.now + self.rng.random_range(1..700);
        let began = self.controllers[n].began;
        self.answers.push(Answer { at, to: n, began, asked_at: self.now, pledges });
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (due, rest): (Vec<_>, Vec<_>) = std::mem::take(&mut self.answers).into_iter().partition(|a| a.at <= now);
        self.answers = rest;
        for a in due {
            let c = &mut self.controllers[a.to];
            if c.began != a.began || now < c.frozen_until {
                continue;
            }
            let before = c.known.len();
            c.known.extend(a.pledges.iter().flatten().flat_map(|(_, jobs)| jobs.iter().copied()));
            self.carried += (c.known.len() - before) as u64;
            let spans: Option<Vec<Millis>> = a.pledges.iter().map(|p| p.as_ref().map(|p| p.0)).collect();
            if let Some(shortest) = spans.and_then(|s| s.into_iter().min()) {
                let asked_at = c.clock(a.asked_at);
                c.election.extend_on_pledges(asked_at, shortest);
                self.extended += 1;
            }
        }
        let (due, rest): (Vec<_>, Vec<_>) = std::mem::take(&mut self.under_way).into_iter().partition(|a| a.0 <= now);
        self.under_way = rest;
        for (_, n, began, job, revision) in due {
            let c = &mut self.controllers[n];
            // The process that was asked must still be there to tell.
            if c.began == began && now >= c.frozen_until {
                c.cancellations.tell(job, Revision(revision));
                if c.election.lease().is_some() {
                    c.known.insert(job);
                }
                self.told.entry(job).or_insert(now);
            }
        }
    }

    fn read(&mut self, n: usize) {
        let served = self.served(n);
        let now = self.now;
        let c = &mut self.controllers[n];
        if c.election.lease().is_none() || now < c.next_read || now < c.stalled_until || !served {
            return;
        }
        if !c.loaded {
            c.known.clear();
        }
        c.known.extend(self.cancelled.keys());
        c.loaded = true;
        c.next_read = now + 300;
        let asked_at = c.clock(now.saturating_sub(300));
        let clock = c.clock(now);
        c.election.read(asked_at, clock, Revision(self.revision));
    }

    /// A user cancels a job, or asks about one that is, at a controller that is served.
    fn user(&mut self) {
        let n = self.rng.random_range(0..NODES);
        if !self.served(n) || self.now < self.controllers[n].frozen_until {
            return;
        }
        let job = self.workers[self.rng.random_range(0..self.workers.len())].job;
        let revision = match self.cancelled.get(&job) {
            Some(r) => *r,
            None => {
                self.revision += 1;
                self.cancelled.insert(job, self.revision);
                self.revision
            }
        };
        let at = self.now + self.rng.random_range(1..300);
        self.under_way.push((at, n, self.controllers[n].began, job, revision));
    }

    fn step_workers(&mut self) {
        let now = self.now;
        for i in 0..self.workers.len() {
            let lost = self.chance(0.02);
            let w = &mut self.workers[i];
            if now - w.answered_sent > LEASE {
                w.runs = false;
            }
            if now < w.next_heartbeat {
                continue;
            }
            w.next_heartbeat = now + 1_500;
            let c = &self.controllers[w.reports_to];
            let term = c.election.active_term(c.clock(now)).filter(|_| c.loaded && now >= c.frozen_until);
            match term {
                Some(t) if t.0 >= w.token => {
                    if !lost {
                        w.token = t.0;
                        w.answered_sent = now;
                        w.runs &= !c.known.contains(&w.job);
                    }
                }
                _ => {
                    w.reports_to = (w.reports_to + 1) % NODES;
                    w.next_heartbeat = now + 1_000;
                }
            }
        }
    }

    fn trouble(&mut self) {
        let now = self.now;
        let some = self.rng.random_range(0..NODES);
        let leader = self.leader().unwrap_or(some);
        if self.chance(0.004) {
            // Refused alone, and soon after all are: the leader, mostly.
            let n = if self.chance(0.8) { leader } else { some };
            self.controllers[n].refused_until = now + self.rng.random_range(1_000..20_000);
            if self.chance(0.2) {
                // Workers and users still reach it.
                self.controllers[n].cut_until = self.controllers[n].refused_until;
            }
        }
        let alone = (0..NODES).any(|n| now < self.controllers[n].refused_until);
        if now > self.outage_until + 5_000 && self.chance(if alone { 0.03 } else { 0.001 }) {
            self.outage_until = now + self.rng.random_range(2_000..60_000);
        }
        if self.chance(0.0015) {
            let n = if self.chance(0.7) { leader } else { some };
            self.controllers[n].stalled_until = now + self.rng.random_range(1_000..60_000);
        }
        if self.chance(0.001) {
            self.controllers[some].frozen_until = now + self.rng.random_range(500..30_000);
        }
        // While one is refused, those that have told users something end as well.
        let outage = now < self.outage_until;
        if self.chance(if alone && !outage { 0.012 } else { 0.001 }) {
            // Ends; another process is there soon after, at times at once.
            let refused_until = self.controllers[some].refused_until;
            let began = now + if self.chance(0.7) { 50 } else { self.rng.random_range(50..3_000) };
            self.controllers[some] = Controller { refused_until, frozen_until: began, ..controller(began) };
        }
    }

    fn check(&mut self) {
        let active_term: Vec<(usize, Term)> = (0..NODES)
            .filter(|n| self.now >= self.controllers[*n].frozen_until)
            .filter_map(|n| {
                let c = &self.controllers[n];
                Some((n, c.election.active_term(c.clock(self.now))?))
            })
            .collect();
        assert!(active_term.len() < 2, "{active_term:?} all act at {}", self.now);
        for (n, term) in active_term {
            assert!(term.0 >= self.last_term, "{n} acts again for {term} after {} at {}", self.last_term, self.now);
            self.last_term = term.0;
        }
        for w in self.workers.iter().filter(|w| w.runs) {
            if let Some(at) = self.told.get(&w.job) {
                assert!(self.now - at <= CANCEL, "ran_cancelled: {} told at {at} runs at {}", w.job, self.now);
            }
        }
    }

    fn run(&mut self, secs: u64) {
        while self.now < secs * 1_000 {
            self.now += STEP;
            self.step_leases();
            self.trouble();
            // Few at ordinary times, many while somebody is refused.
            let alone = (0..NODES).any(|n| self.now < self.controllers[n].refused_until);
            if self.chance(if alone { 0.1 } else { 0.02 }) {
                self.user();
            }
            self.deliver();
            for n in 0..NODES {
                if self.now < self.controllers[n].frozen_until {
                    continue;
                }
                if self.now >= self.controllers[n].next_look {
                    self.look(n);
                }
                self.read(n);
            }
            self.step_workers();
            self.check();
        }
    }
}

#[test]
fn one_leader_at_most_and_no_cancelled_task_outlives_its_time() {
    let (mut extended, mut carried, mut told) = (0, 0, 0);
    for seed in 0..200 {
        let mut w = World::new(seed);
        w.run(100);
        extended += w.extended;
        carried += w.carried;
        told += w.told.len();
    }
    // The histories are worth something only if leaders hold on, and learn what they couldn't read.
    assert!(extended > 1_000 && carried > 100 && told > 1_000, "held_on={extended} carried={carried} told={told}");
}
