use super::*;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

fn id(n: u32) -> JobId {
    JobId::parse(&format!("req-{n:06}")).unwrap()
}

fn ids(numbers: &[u32]) -> BTreeSet<JobId> {
    numbers.iter().map(|n| id(*n)).collect()
}

/// Reference model of the dependency graph: each job's dependencies, and its outcome if the job has ended. All else is
/// recomputed from these on each query.
#[derive(Default)]
struct Model {
    jobs: Vec<(BTreeSet<JobId>, Option<JobOutcome>)>,
}

impl Model {
    fn outcome(&self, id: &JobId) -> Option<JobOutcome> {
        (0..self.jobs.len()).find(|n| super::tests::id(*n as u32) == *id).and_then(|n| self.jobs[n].1)
    }

    fn is_cascade_cancelled(&self, n: usize) -> bool {
        let cancelled = |a: &JobId| self.outcome(a) == Some(JobOutcome::Cancelled);
        let cascade_cancelled = |a: &JobId| (0..n).any(|m| id(m as u32) == *a && self.is_cascade_cancelled(m));
        self.jobs[n].1.is_none() && self.jobs[n].0.iter().any(|a| cancelled(a) || cascade_cancelled(a))
    }

    fn may_start(&self, n: usize) -> bool {
        self.jobs[n].0.iter().all(|a| matches!(self.outcome(a), Some(JobOutcome::Done(_))))
    }
}

#[test]
fn dependency_graph_agrees_with_the_reference_model() {
    let (mut started, mut cascade_cancelled) = (0, 0);
    for seed in 0..200 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut model = Model::default();
        let mut dependencies = DependencyGraph::default();
        // The dependencies for which each live job still waits, as the leader tracks them.
        let mut depends_on: BTreeMap<JobId, BTreeSet<JobId>> = BTreeMap::new();
        for n in 0..30u32 {
            let named: BTreeSet<JobId> = (0..n).filter(|_| rng.random_bool(0.15)).map(id).collect();
            model.jobs.push((named.clone(), None));
            dependencies.add(id(n), &named, |a| depends_on.contains_key(a));
            depends_on.insert(id(n), named);
            // A random job ends. Half of the time the job's outcome is unknown at first and has to be looked up; it may
            // also be recorded more than once.
            let ended = rng.random_range(0..=n);
            if depends_on.contains_key(&id(ended)) {
                let done = model.may_start(ended as usize) && rng.random_bool(0.7);
                let outcome = if done { JobOutcome::Done(None) } else { JobOutcome::Cancelled };
                model.jobs[ended as usize].1 = Some(outcome);
                let remaining = depends_on.remove(&id(ended)).unwrap();
                dependencies.remove(&id(ended), &remaining);
                let reported = if rng.random_bool(0.5) { JobOutcome::Unknown } else { outcome };
                record_outcome(&mut dependencies, &mut depends_on, id(ended), reported);
            }
            for looked_up in dependencies.next_unresolved(40) {
                let outcome = model.outcome(&looked_up).expect("only jobs that have ended are looked up");
                record_outcome(&mut dependencies, &mut depends_on, looked_up, outcome);
            }
            for n in 0..model.jobs.len() {
                let Some(remaining) = depends_on.get(&id(n as u32)) else { continue };
                assert_eq!(remaining.is_empty(), model.may_start(n), "seed {seed}: start of {n}");
                assert_eq!(
                    dependencies.cascade_cancelled().any(|d| *d == id(n as u32)),
                    model.is_cascade_cancelled(n),
                    "seed {seed}: cascading cancellation of {n}"
                );
                started += u32::from(remaining.is_empty());
                cascade_cancelled += u32::from(model.is_cascade_cancelled(n));
            }
        }
    }
    assert!(started > 1_000 && cascade_cancelled > 1_000, "started={started} cancelled={cascade_cancelled}");
}

fn record_outcome(
    dependencies: &mut DependencyGraph,
    depends_on: &mut BTreeMap<JobId, BTreeSet<JobId>>,
    ended: JobId,
    outcome: JobOutcome,
) {
    for released in dependencies.record_outcome(&ended, outcome) {
        depends_on.get_mut(&released).map(|remaining| remaining.remove(&ended));
    }
}

fn job_timing(priority: Priority, due_s: Option<f64>, run_s: f64) -> JobTiming {
    JobTiming { priority, due_s, slo_deadlines: due_s.into_iter().collect(), run_s, transfer_s: 1.0 }
}

#[test]
fn priority_and_deadline_are_inherited_along_a_pipeline() {
    // Job 3 depends on 1 and 2, job 4 on 1 and 3, job 5 on 1 and 9. Job 9 is cancelled, and job 5 with it, so
    // that job 1 inherits nothing from job 5.
    let mut dependencies = DependencyGraph::default();
    dependencies.add(id(3), &ids(&[1, 2]), |_| true);
    dependencies.add(id(4), &ids(&[1, 3]), |_| true);
    dependencies.add(id(5), &ids(&[1, 9]), |_| true);
    dependencies.record_outcome(&id(9), JobOutcome::Cancelled);
    let timings = BTreeMap::from([
        (id(3), job_timing(Priority::Normal, None, 20.0)),
        (id(4), job_timing(Priority::High, Some(100.0), 8.0)),
        (id(5), job_timing(Priority::Prod, Some(1.0), 8.0)),
    ]);
    let inherited = dependencies.inherited_constraints(|id| timings.get(id).cloned());
    let of = |n: u32| {
        let i = &inherited[&id(n)];
        (i.priority, i.due_s, i.rank_s)
    };
    assert_eq!(of(3), (Priority::High, Some(91.0), 9.0));
    assert_eq!(of(2), (Priority::High, Some(70.0), 30.0));
    assert_eq!(of(1), (Priority::High, Some(70.0), 30.0), "the longest chain of dependents determines the rank");
    assert!(!inherited.contains_key(&id(4)) && !inherited.contains_key(&id(9)));
    // A long chain of dependents must not overflow the call stack.
    let mut chain = DependencyGraph::default();
    (1..20_000).for_each(|n| chain.add(id(n), &ids(&[n - 1]), |_| true));
    let inherited = chain.inherited_constraints(|_| Some(job_timing(Priority::Low, Some(0.0), 1.0)));
    assert_eq!(inherited[&id(0)].rank_s, 2.0 * 19_999.0);
}

#[test]
fn unresolved_jobs_are_looked_up_in_turn() {
    let mut dependencies = DependencyGraph::default();
    dependencies.add(id(9), &ids(&[1, 2, 3]), |_| false);
    assert_eq!(dependencies.next_unresolved(2), [id(1), id(2)]);
    assert_eq!(dependencies.next_unresolved(2), [id(3), id(1)]);
    // Job 2 turns out to be live and need not be looked up. Nor need jobs 1 and 3 once their only dependent is removed.
    dependencies.add(id(2), &ids(&[]), |_| false);
    assert_eq!(dependencies.next_unresolved(9).len(), 2);
    dependencies.remove(&id(9), &ids(&[1, 2, 3]));
    assert!(dependencies.next_unresolved(9).is_empty());
}

#[test]
fn a_ladder_of_jobs_passes_on_a_bounded_number_of_slo_deadlines() {
    // Guards against exponential growth of the inherited SLO deadlines. Both jobs of each rung depend on both
    // jobs of the rung before, which doubles the number of paths at each rung, and all paths differ in length.
    let mut ladder = DependencyGraph::default();
    let rungs = 40;
    for rung in 1..rungs {
        for side in 0..2 {
            ladder.add(id(2 * rung + side), &ids(&[2 * rung - 2, 2 * rung - 1]), |_| true);
        }
    }
    let run_s = |job: &JobId| (0..2 * rungs).find(|n| id(*n) == *job).map_or(1.0, |n| 1.0 + 0.01 * f64::from(n * n));
    let inherited = ladder.inherited_constraints(|job| Some(job_timing(Priority::Low, Some(1_000.0), run_s(job))));
    assert!(inherited.values().all(|i| i.slo_deadlines.len() <= MAX_SLO_DEADLINES));
    let first = &inherited[&id(0)];
    assert_eq!(first.due_s, first.slo_deadlines.first().copied(), "the earliest SLO deadline is kept");
}
