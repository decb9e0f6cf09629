//! Digest of everything that the scheduler core puts out, for characterization tests: a change that is meant to
//! preserve the behavior must not change the digests.
//!
//! Only the encoded forms are hashed (JSON and protobuf messages), so the digests don't depend on names in the source.

use super::*;
use prost::Message;
use serde::Serialize;

/// Kind of a hashed output, and the first byte hashed for it. Also the index of the kind in [`Digest::counts`].
#[derive(Clone, Copy)]
#[repr(u8)]
enum Tag {
    Orders = 0,
    Commit = 1,
    FenceRefresh = 2,
    Provision = 3,
    Terminate = 4,
    LookUpOutcomes = 5,
    Plan = 6,
    PeerPlan = 7,
    HeartbeatResponse = 8,
    HeartbeatRejection = 9,
}

const TAG_COUNT: usize = 10;

/// 64-bit FNV-1a hash of the outputs, with the number of outputs of each kind.
pub(in crate::core) struct Digest {
    state: u64,
    counts: [u64; TAG_COUNT],
}

impl Digest {
    /// Creates a digest of no outputs.
    pub(in crate::core) fn new() -> Digest {
        Digest { state: 0xcbf2_9ce4_8422_2325, counts: [0; TAG_COUNT] }
    }

    /// Returns the hash of all outputs added so far.
    pub(in crate::core) fn value(&self) -> u64 {
        self.state
    }

    /// Returns the number of outputs of each kind added so far, in this order: orders, commits, fence refreshes,
    /// provision requests, terminations, lookups of outcomes, plan requests to peers, plans of peers, heartbeat
    /// responses, rejected heartbeats.
    pub(in crate::core) fn counts(&self) -> [u64; TAG_COUNT] {
        self.counts
    }

    /// Hashes an effect, that is, an action that the scheduler requests, such as a commit or orders to a worker.
    pub(in crate::core) fn add_effect(&mut self, effect: &Effect) {
        match effect {
            Effect::Orders { request, endpoint, body } => {
                self.add_tag(Tag::Orders);
                self.add_u64(request.0);
                self.add_length_prefixed(endpoint.as_bytes());
                self.add_json(body);
            }
            Effect::Commit { request, transaction } => {
                self.add_tag(Tag::Commit);
                self.add_u64(request.0);
                self.add_json(transaction);
            }
            Effect::RefreshFence(transaction) => {
                self.add_tag(Tag::FenceRefresh);
                self.add_json(transaction);
            }
            Effect::Provision(request) => {
                self.add_tag(Tag::Provision);
                self.add_json(request);
            }
            Effect::Terminate(machines) => {
                self.add_tag(Tag::Terminate);
                self.add_json(machines);
            }
            Effect::LookUpOutcomes(jobs) => {
                self.add_tag(Tag::LookUpOutcomes);
                self.add_json(jobs);
            }
            Effect::Plan { node, input } => {
                self.add_tag(Tag::Plan);
                self.add_length_prefixed(node.as_bytes());
                self.add_length_prefixed(&input.encode_to_vec());
            }
        }
    }

    /// Hashes the plan that a peer has computed for the jobs of its shard, which is the set of teams assigned to that
    /// peer.
    pub(in crate::core) fn add_peer_plan(&mut self, plan: &PlanOutput) {
        self.add_tag(Tag::PeerPlan);
        self.add_length_prefixed(&plan.encode_to_vec());
    }

    /// Hashes the leader's response to a heartbeat, which is `None` if the leader rejected the heartbeat.
    pub(in crate::core) fn add_heartbeat_response(&mut self, response: Option<&HeartbeatResponse>) {
        match response {
            Some(response) => {
                self.add_tag(Tag::HeartbeatResponse);
                self.add_json(response);
            }
            None => self.add_tag(Tag::HeartbeatRejection),
        }
    }

    fn add_tag(&mut self, tag: Tag) {
        self.counts[tag as usize] += 1;
        self.add_bytes(&[tag as u8]);
    }

    fn add_json(&mut self, value: &impl Serialize) {
        self.add_length_prefixed(&serde_json::to_vec(value).expect("serializable as JSON"));
    }

    /// Hashes bytes after their length, so that different splits of the same bytes give different digests.
    fn add_length_prefixed(&mut self, bytes: &[u8]) {
        self.add_u64(bytes.len() as u64);
        self.add_bytes(bytes);
    }

    fn add_u64(&mut self, number: u64) {
        self.add_bytes(&number.to_le_bytes());
    }

    fn add_bytes(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.state = (self.state ^ u64::from(*byte)).wrapping_mul(0x0000_0100_0000_01b3);
        }
    }
}

#[test]
fn digest_is_fnv_1a() {
    let mut digest = Digest::new();
    digest.add_bytes(b"foobar");
    assert_eq!(digest.value(), 0x8594_4171_f739_67e8);
}

/// The seed and the expected digest of each run. Each seed has a digest of its own, so that a failure shows which runs
/// have changed.
const EXPECTED_DIGESTS: [(u64, u64); 12] = [
    (0, 0x0bad_4f1c_315c_150d),
    (1, 0x3797_4bf9_ae04_7491),
    (2, 0x276e_ae0a_7d89_e0a5),
    (3, 0x177a_b298_d95c_662d),
    (4, 0x11e5_c275_44a5_011d),
    (5, 0xbdf2_46a9_37e8_34b6),
    (6, 0xc063_8544_4f1c_97ac),
    (7, 0x62fb_312b_6ee3_aeec),
    (8, 0x5f56_1cfc_8801_e5eb),
    (9, 0x92ac_6772_5e37_1c1c),
    (10, 0x42c6_ca2a_3ffc_bab5),
    (11, 0x3d03_594e_00f3_1d88),
];

/// The expected number of outputs of each kind, summed over the runs of [`EXPECTED_DIGESTS`], in the order of
/// [`Digest::counts`].
const EXPECTED_COUNTS: [u64; TAG_COUNT] = [1691, 1135, 131, 479, 265, 45, 1862, 1816, 3363, 253];

/// Returns the digest of a run with more cancellations, dependencies and late commits than by default, and fewer leader
/// crashes.
fn run_digest(seed: u64) -> Digest {
    let mut simulation = Simulation::new(seed);
    (
        simulation.leader_crash_probability,
        simulation.cancellation_probability,
        simulation.dependency_probability,
        simulation.late_commit_probability,
    ) = (0.001, 0.02, 0.5, 0.05);
    simulation.run(100, 0);
    simulation.digest
}

#[test]
fn digests_of_random_runs_are_unchanged() {
    let digests = EXPECTED_DIGESTS.map(|(seed, _)| (seed, run_digest(seed)));
    let mut counts = [0; TAG_COUNT];
    for (_, digest) in &digests {
        counts.iter_mut().zip(digest.counts()).for_each(|(sum, count)| *sum += count);
    }
    let actual = digests.map(|(seed, digest)| (seed, digest.value()));
    for (seed, value) in &actual {
        println!("    ({seed}, {value:#018x}),");
    }
    println!("counts={counts:?}");
    assert_eq!(actual, EXPECTED_DIGESTS);
    assert_eq!(counts, EXPECTED_COUNTS);
}
