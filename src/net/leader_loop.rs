//! The leader's work: loads the cluster state, feeds it, and carries out what it asks for.

use super::input_latency::InputKind;
use super::kv::{KvError, commit_outcome};
use super::linearizable_reads;
use super::node::{Node, NodeState};
use super::peers;
use crate::config::Peer;
use crate::core::machine::MACHINE_PREFIX;
use crate::core::scheduler::{
    CommitOutcome, Effect, OrdersResult, ProvisionOutcome, Scheduler, StoredState, TICK_INTERVAL,
};

use crate::core::cost::CostCounters;
use crate::core::election::{LEADER_KEY, LeaderRecord, should_hand_over};
use crate::core::records::{BITMAP_PREFIX, JobOutcome, LIVE_PREFIX};
use crate::core::shards::SHARDS_KEY;
use crate::ids::{JobId, MachineId, Revision, Term};
use crate::peer::PeerHeartbeatResponse;
use crate::time::{Millis, MonotonicTime};
use crate::wire::{DirectOrders, Heartbeat, MachineType, Mutation, Precondition, Transaction, WatchEvent};
use hyper::Method;
use log::{debug, info, warn};
use rand::seq::IndexedRandom;
use serde_json::json;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::{Duration, Instant};

pub const KINDS_KEY: &str = "ctl/kinds";
/// Stored records that a new leader reads in one step.
const ROWS_PER_STEP: usize = 250;
/// How long a worker has to answer orders.
const ORDERS_TIMEOUT: Millis = Millis(2_000);

/// Keeps the machine kinds known: from the state service, or (the leader) from the cloud.
pub async fn learn_types(node: Arc<Node>) {
    loop {
        let row = node.track_store(node.kv.get(&node.http, KINDS_KEY)).await;
        if let Ok(Some(row)) = row {
            match serde_json::from_value::<Vec<MachineType>>(row.value) {
                Ok(types) if !types.is_empty() => {
                    node.lock().types = Some(types);
                    return;
                }
                _ => warn!("state: {KINDS_KEY} can't be read"),
            }
        }
        if node.lock().types.is_some() {
            return;
        }
        tokio::time::sleep(Millis(400).to_std()).await;
    }
}

async fn types_for_leader(node: &Arc<Node>) -> Vec<MachineType> {
    loop {
        if let Some(t) = node.lock().types.clone() {
            return t;
        }
        if let Some(types) = node.cloud.types(&node.http, node.now()).await
            && !types.is_empty()
        {
            let transaction = Transaction {
                preconditions: vec![Precondition { key: KINDS_KEY.into(), revision: 0 }],
                mutations: vec![Mutation::put(KINDS_KEY, json!(types))],
            };
            let _ = node.track_store(node.kv.commit(&node.http, &transaction)).await;
            node.lock().types = Some(types);
            continue;
        }
        tokio::time::sleep(Millis(500).to_std()).await;
    }
}

fn still_leads(node: &Node, term: Term) -> bool {
    node.lock().election.lease().is_some_and(|o| o.term == term)
}

pub async fn run(node: Arc<Node>, term: Term, record: LeaderRecord) {
    let since = node.now();
    let types = types_for_leader(&node).await;
    let (asked_at, stored, revision) = loop {
        let asked_at = node.now();
        match load(&node).await {
            Ok((stored, revision)) => break (asked_at, stored, revision),
            Err(e) => debug!("loading: {e}"),
        }
        tokio::time::sleep(Millis(150).to_std()).await;
    };
    let mut leader = Scheduler::new(node.settings.clone(), node.tuning.clone(), types, term, record, since);
    load_in_steps(&node, &mut leader, stored).await;
    {
        let now = node.now();
        let mut inner = node.lock();
        if inner.election.lease().is_none_or(|o| o.term != term) {
            return;
        }
        inner.election.read(asked_at, now, Revision(revision));
        inner.scheduler = Some(leader);
    }
    tokio::join!(
        tick(&node, term),
        follow(&node, term, revision),
        watch_cloud(&node, term),
        send_peer_heartbeats(&node, term)
    );
}

/// Gives a new leader what is stored, a part at a time: renewals, users and heartbeats are served in between.
async fn load_in_steps(node: &Node, leader: &mut Scheduler, stored: StoredState) {
    for part in stored.into_parts(ROWS_PER_STEP) {
        let now = node.now();
        let ((), took, cost) = measured(leader, |scheduler| scheduler.load_part(now, part));
        node.lock().input_latency.record(now, InputKind::Load, took, cost);
        tokio::task::yield_now().await;
    }
    leader.finish_load(node.now());
}

async fn load(node: &Node) -> Result<(StoredState, u64), KvError> {
    let (live, revision) = node.kv.list(&node.http, LIVE_PREFIX).await?;
    let (bitmaps, _) = node.kv.list(&node.http, BITMAP_PREFIX).await?;
    let (machines, _) = node.kv.list(&node.http, MACHINE_PREFIX).await?;
    let shards = node.kv.get(&node.http, SHARDS_KEY).await?.map(|r| r.value);
    Ok((StoredState { live, bitmaps, machines, shards }, revision))
}

/// Feeds the cluster state something and carries out what follows. Outside the bound of the leader's lease
/// nothing is fed, so nothing goes out.
pub fn step<T>(node: &Arc<Node>, input_kind: InputKind, input: impl FnOnce(&mut Scheduler) -> T) -> Option<T> {
    let now = node.now();
    let (answer, term, effects) = {
        let mut inner = node.lock();
        let Some(term) = inner.election.active_term(now) else {
            if let Some(leader) = &mut inner.scheduler {
                leader.abandon_round();
            }
            return None;
        };
        let (answer, effects) =
            step_measured(&mut inner, now, input_kind, |scheduler| (input(scheduler), scheduler.take_effects()))?;
        (answer, term, effects)
    };
    for effect in effects {
        tokio::spawn(perform(node.clone(), term, effect));
    }
    Some(answer)
}

/// Carries out what the leader has left to do.
pub fn perform_pending(node: &Arc<Node>) {
    step(node, InputKind::Result, |_| ());
}

/// Has the cluster state, if there is one, take an input, and notes how long that took.
fn step_measured<T>(
    inner: &mut NodeState,
    now: MonotonicTime,
    input_kind: InputKind,
    input: impl FnOnce(&mut Scheduler) -> T,
) -> Option<T> {
    let (answer, took, cost) = measured(inner.scheduler.as_mut()?, input);
    inner.input_latency.record(now, input_kind, took, cost);
    Some(answer)
}

/// Gives a cluster state an input. Returns its answer, how long that took and what it worked through.
fn measured<T>(leader: &mut Scheduler, input: impl FnOnce(&mut Scheduler) -> T) -> (T, Duration, CostCounters) {
    let (started, before) = (Instant::now(), leader.cost_counters());
    let answer = input(leader);
    (answer, started.elapsed(), leader.cost_counters().since(&before))
}

/// Tells the cluster state something, if there is one: also while not acting, as it is knowledge and no order.
fn notify_scheduler(node: &Node, tell: impl FnOnce(&mut Scheduler, MonotonicTime)) {
    let now = node.now();
    step_measured(&mut node.lock(), now, InputKind::Result, |scheduler| tell(scheduler, now));
}

/// Carries out an action of the leader of a term. This process may have been frozen since the action
/// was decided: what is no longer this leader's to send isn't sent.
pub(super) async fn perform(node: Arc<Node>, term: Term, effect: Effect) {
    let now = node.now();
    let active_term = node.lock().election.active_term(now) == Some(term);
    match effect {
        Effect::Orders { request, endpoint, body } => {
            let result = if active_term { send_orders(&node, &endpoint, &body).await } else { OrdersResult::Unknown };
            notify_scheduler(&node, |scheduler, now| scheduler.on_orders_result(now, request, result));
            perform_pending(&node);
        }
        Effect::Commit { request, transaction } => {
            let result = match active_term {
                true => commit_outcome(&node.track_store(node.kv.commit(&node.http, &transaction)).await),
                false => CommitOutcome::Rejected,
            };
            notify_scheduler(&node, |scheduler, now| scheduler.on_committed(now, request, result));
            perform_pending(&node);
        }
        Effect::RefreshFence(transaction) => {
            let revision = refresh_fence(&node, &transaction).await;
            notify_scheduler(&node, |scheduler, now| scheduler.on_fence_refreshed(now, revision));
            perform_pending(&node);
        }
        Effect::Plan { node: peer, input } => {
            let plan = peers::ask_plan(&node, &peer, &input).await;
            let now = node.now();
            step(&node, InputKind::Plan, |scheduler| scheduler.on_plan(now, &peer, plan));
        }
        Effect::LookUp(ids) => {
            let outcomes = linearizable_reads::outcomes(&node, &ids).await;
            notify_scheduler(&node, |scheduler, now| scheduler.on_looked_up(now, &outcomes));
            perform_pending(&node);
        }
        Effect::Provision(request) => {
            let result = match active_term {
                true => node.cloud.provision(&node.http, now, &request).await,
                false => ProvisionOutcome::Unknown,
            };
            notify_scheduler(&node, |scheduler, now| scheduler.on_provisioned(now, &request.name, result));
        }
        Effect::Terminate(ids) => {
            let names = ids.iter().map(MachineId::to_string).collect();
            let returned = active_term && node.cloud.terminate(&node.http, now, names).await;
            notify_scheduler(&node, |scheduler, now| scheduler.on_terminated(now, &ids, returned));
        }
    }
}

/// Sends orders to a worker, once.
async fn send_orders(node: &Node, endpoint: &str, orders: &DirectOrders) -> OrdersResult {
    let body = serde_json::to_vec(orders).unwrap_or_default();
    let heartbeat = |body: &[u8]| serde_json::from_slice::<Heartbeat>(body).ok();
    match node.orders.call(Method::POST, endpoint, "/orders", body, ORDERS_TIMEOUT).await {
        Ok((200, body)) => heartbeat(&body).map_or(OrdersResult::Unknown, OrdersResult::Executed),
        Ok((409, body)) => heartbeat(&body).map_or(OrdersResult::Unknown, OrdersResult::Rejected),
        Ok((status, _)) => {
            warn!("orders to {endpoint}: status {status}");
            OrdersResult::Unknown
        }
        Err(e) => {
            debug!("orders to {endpoint}: {e}");
            OrdersResult::Unknown
        }
    }
}

/// Writes the leader's key anew; its revision then, if that is known and the key still this leader's.
async fn refresh_fence(node: &Node, transaction: &Transaction) -> Option<Revision> {
    if let Ok(Ok(revision)) = node.track_store(node.kv.commit(&node.http, transaction)).await {
        return Some(Revision(revision));
    }
    // Perhaps written, now or by an earlier try.
    let row = node.track_store(node.kv.get(&node.http, LEADER_KEY)).await.ok()??;
    let own = transaction.mutations.iter().any(|c| matches!(c, Mutation::Put { value, .. } if *value == row.value));
    own.then_some(Revision(row.revision))
}

async fn tick(node: &Arc<Node>, term: Term) {
    while still_leads(node, term) {
        let (now, wall) = (node.now(), node.wall_time());
        step(node, InputKind::Tick, |scheduler| scheduler.tick(now, wall));
        tokio::time::sleep(TICK_INTERVAL.to_std()).await;
    }
}

/// Follows the live jobs: new ones, and those that their users have cancelled.
async fn follow(node: &Arc<Node>, term: Term, mut since: u64) {
    // Several answers must fit into the time for which what has been read may be acted on.
    let block = Millis(3_000).min(node.settings.read_ttl().mul_f64(0.25));
    while still_leads(node, term) {
        let asked_at = node.now();
        let log = node.kv.follow(&node.http, LIVE_PREFIX, since, block).await;
        // A watch that stays open says nothing.
        if !matches!(log, Err(KvError::Unknown(_))) {
            node.record_store_result(&log);
        }
        match log {
            Ok(Some(log)) => {
                since = since.max(log.revision);
                let now = node.now();
                let mut inner = node.lock();
                inner.election.read(asked_at, now, Revision(since));
                let Some(scheduler) = &mut inner.scheduler else { continue };
                for e in log.events {
                    let (key, value) = match e {
                        WatchEvent::Put { key: write, value, revision } => (write, Some((value, revision))),
                        WatchEvent::Delete { key: drop } => (drop, None),
                    };
                    let Some(id) = key.strip_prefix(LIVE_PREFIX).and_then(JobId::parse) else { continue };
                    match value {
                        Some((value, revision)) => scheduler.on_job_accepted(&id, &value, Revision(revision)),
                        None => scheduler.on_job_terminated(&id, JobOutcome::Unknown),
                    }
                }
            }
            Ok(None) => {
                let asked_at = node.now();
                match node.track_store(node.kv.list(&node.http, LIVE_PREFIX)).await {
                    Ok((rows, revision)) => {
                        since = revision;
                        let now = node.now();
                        let mut inner = node.lock();
                        if let Some(scheduler) = &mut inner.scheduler {
                            scheduler.resync_live_jobs(rows, revision);
                            inner.election.read(asked_at, now, Revision(revision));
                        }
                    }
                    Err(_) => tokio::time::sleep(Millis(300).to_std()).await,
                }
            }
            Err(e) => {
                debug!("following jobs: {e}");
                tokio::time::sleep(Millis(200).to_std()).await;
            }
        }
        perform_pending(node);
    }
}

async fn watch_cloud(node: &Arc<Node>, term: Term) {
    let lag = Millis::from_secs_f64(node.settings.cluster.cloud.list_lag_s);
    let every = Millis((lag.0 / 2).clamp(2_000, 10_000));
    let mut rounds = 0u64;
    while still_leads(node, term) {
        if let Some(list) = node.cloud.list(&node.http, node.now()).await {
            let now = node.now();
            step(node, InputKind::Result, |scheduler| scheduler.on_list(now, &list));
        }
        if rounds % 8 == 1
            && let Some(types) = node.cloud.types(&node.http, node.now()).await
        {
            let mut inner = node.lock();
            if let Some(scheduler) = &mut inner.scheduler {
                scheduler.set_types(types);
            }
        }
        rounds += 1;
        tokio::time::sleep(every.to_std()).await;
    }
}

/// Tells the peers how many tasks of each job run, for polls that reach them.
async fn send_peer_heartbeats(node: &Arc<Node>, term: Term) {
    let mut suspicion = 0;
    while still_leads(node, term) {
        let mut peer_heartbeat = peers::peer_heartbeat(node);
        peer_heartbeat.leading = true;
        peer_heartbeat.term = term.0;
        let mut machines = 0;
        {
            let mut inner = node.lock();
            let now = node.now();
            if let Some(scheduler) = &inner.scheduler {
                peer_heartbeat.counts = scheduler.counts();
                (peer_heartbeat.suspected, machines) = scheduler.suspected_machines(now);
            }
            inner.take_counts(&peer_heartbeat.counts);
        }
        let answers = peers::ask_all(node, &peer_heartbeat, Millis(800)).await;
        record_relay_peers(node, &answers);
        suspicion = detect_unreachable_leader(node, &answers, peer_heartbeat.suspected.len(), machines, suspicion);
        hand_over_if_overloaded(node, &answers);
        let pause = if suspicion > 0 { Millis(300) } else { Millis(1_000) };
        tokio::time::sleep(pause.to_std()).await;
    }
    info!("no longer leading: term={term}");
}

/// Names a successor if this controller has been too slow for a while and a peer can take over.
fn hand_over_if_overloaded(node: &Node, answers: &[Option<PeerHeartbeatResponse>]) {
    let now = node.now();
    let mut inner = node.lock();
    let Some(leader) = inner.scheduler.as_ref().filter(|scheduler| scheduler.settled(now)) else { return };
    let lag = leader.lag();
    let able = peers::answered(node, answers).filter(|(_, answer)| answer.store_ok && answer.relays_heartbeats);
    let able: Vec<&Peer> = able.map(|(peer, _)| peer).collect();
    let Some(peer) = able.choose(&mut rand::rng()) else { return };
    if inner.overload.observe(now, lag) {
        warn!("handing over: ticks are late by {} ms, successor={}", lag.0, peer.name);
        inner.successor = Some(peer.name.clone());
    }
}

/// Notes which peers can pass workers' heartbeats on.
fn record_relay_peers(node: &Node, answers: &[Option<PeerHeartbeatResponse>]) {
    let relays_heartbeats = peers::answered(node, answers).filter(|(_, answer)| answer.relays_heartbeats);
    let peers = relays_heartbeats.map(|(peer, _)| peer.clone()).collect();
    node.lock().heartbeat_balancer.set_peers(peers);
}

/// Takes in what the peers have said, and names an successor if it is this controller that the workers
/// can't reach. Once may be chance, as workers that have just lost their leader stray for a moment:
/// returns how often in a row it looked so.
fn detect_unreachable_leader(
    node: &Node,
    answers: &[Option<PeerHeartbeatResponse>],
    suspected: usize,
    all: usize,
    before: u32,
) -> u32 {
    let now = node.now();
    let mut inner = node.lock();
    let Some(scheduler) = &mut inner.scheduler else { return 0 };
    // Workers go round the controllers, so no single peer hears all of them at once.
    let mut redirected: BTreeSet<&str> = BTreeSet::new();
    let mut successor: Option<(usize, &str)> = None;
    for (peer, a) in peers::answered(node, answers) {
        scheduler.peer_answered(now, &peer.name);
        redirected.extend(a.redirected.iter().map(String::as_str));
        if a.store_ok {
            successor = successor.max(Some((a.redirected.len(), &peer.name)));
        }
    }
    let Some((1.., name)) = successor else { return 0 };
    if !scheduler.settled(now) || !should_hand_over(suspected, redirected.len(), all) {
        return 0;
    }
    let name = name.to_string();
    if before >= 1 || suspected * 2 >= all {
        warn!("handing over: silent={suspected} machines={all} successor={name}");
        inner.successor = Some(name);
    }
    before + 1
}
