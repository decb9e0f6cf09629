//! A digest of all that the core puts out, for characterisation tests: a change that is to keep the
//! behaviour must keep the digests.
//!
//! Only wire forms are hashed (JSON and prost messages), so renames in the source disturb nothing.

use super::*;
use prost::Message;
use serde::Serialize;

/// The fixed first byte of everything that is hashed. The tags are also the places in [`Digest::counts`].
#[derive(Clone, Copy)]
#[repr(u8)]
enum Tag {
    Orders = 0,
    Commit = 1,
    FenceRefresh = 2,
    Provision = 3,
    Terminate = 4,
    LookUp = 5,
    Plan = 6,
    PeerPlan = 7,
    Answer = 8,
    NoAnswer = 9,
}

const TAGS: usize = 10;

/// FNV-1a over 64 bits, with a count of what was hashed under each tag.
pub(in crate::core) struct Digest {
    state: u64,
    counts: [u64; TAGS],
}

impl Digest {
    pub(in crate::core) fn new() -> Digest {
        Digest { state: 0xcbf2_9ce4_8422_2325, counts: [0; TAGS] }
    }

    pub(in crate::core) fn value(&self) -> u64 {
        self.state
    }

    /// How often each kind of output was hashed: orders, commits, fence refreshes, provisions,
    /// terminations, lookups, plan inputs, plans of peers, answers to heartbeats, heartbeats without an answer.
    pub(in crate::core) fn counts(&self) -> [u64; TAGS] {
        self.counts
    }

    pub(in crate::core) fn effect(&mut self, effect: &Effect) {
        match effect {
            Effect::Orders { request, endpoint, body } => {
                self.tag(Tag::Orders);
                self.number(request.0);
                self.part(endpoint.as_bytes());
                self.json(body);
            }
            Effect::Commit { request, transaction } => {
                self.tag(Tag::Commit);
                self.number(request.0);
                self.json(transaction);
            }
            Effect::RefreshFence(transaction) => {
                self.tag(Tag::FenceRefresh);
                self.json(transaction);
            }
            Effect::Provision(request) => {
                self.tag(Tag::Provision);
                self.json(request);
            }
            Effect::Terminate(machines) => {
                self.tag(Tag::Terminate);
                self.json(machines);
            }
            Effect::LookUpOutcomes(jobs) => {
                self.tag(Tag::LookUp);
                self.json(jobs);
            }
            Effect::Plan { node, input } => {
                self.tag(Tag::Plan);
                self.part(node.as_bytes());
                self.part(&input.encode_to_vec());
            }
        }
    }

    /// What a peer has planned for its shard.
    pub(in crate::core) fn peer_plan(&mut self, plan: &PlanOutput) {
        self.tag(Tag::PeerPlan);
        self.part(&plan.encode_to_vec());
    }

    /// What the leader answers to a heartbeat, if it does.
    pub(in crate::core) fn answer(&mut self, answer: Option<&HeartbeatResponse>) {
        match answer {
            Some(answer) => {
                self.tag(Tag::Answer);
                self.json(answer);
            }
            None => self.tag(Tag::NoAnswer),
        }
    }

    fn tag(&mut self, tag: Tag) {
        self.counts[tag as usize] += 1;
        self.bytes(&[tag as u8]);
    }

    fn json(&mut self, value: &impl Serialize) {
        self.part(&serde_json::to_vec(value).expect("a wire form is JSON"));
    }

    /// Bytes with their length in front, so that parts can't be shifted into each other.
    fn part(&mut self, bytes: &[u8]) {
        self.number(bytes.len() as u64);
        self.bytes(bytes);
    }

    fn number(&mut self, number: u64) {
        self.bytes(&number.to_le_bytes());
    }

    fn bytes(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.state = (self.state ^ u64::from(*byte)).wrapping_mul(0x0000_0100_0000_01b3);
        }
    }
}

#[test]
fn digest_is_fnv_1a() {
    let mut digest = Digest::new();
    digest.bytes(b"foobar");
    assert_eq!(digest.value(), 0x8594_4171_f739_67e8);
}

/// The digests of some histories, each with its seed: a difference can be traced to one of them.
const EXPECTED: [(u64, u64); 12] = [
    (0, 0x54b7_c723_c8db_a6f1),
    (1, 0xaaf2_2edf_e48d_f0b9),
    (2, 0x23a4_9024_c086_3c54),
    (3, 0x7447_f701_067c_df56),
    (4, 0xc9de_477b_b231_4735),
    (5, 0xa67f_f1d3_431f_f88b),
    (6, 0x2f74_b29b_384e_3d33),
    (7, 0x8646_dd92_5114_3365),
    (8, 0x65d6_0cf6_4f3e_0b35),
    (9, 0xb857_5a33_5bd3_9584),
    (10, 0x56e7_aa1d_aa3e_4984),
    (11, 0x0047_1e22_e5a6_4894),
];

/// How often each kind of output occurs in all of them, in the order of [`Digest::counts`].
const EXPECTED_COUNTS: [u64; TAGS] = [1806, 1165, 112, 426, 266, 62, 1652, 1603, 3532, 266];

/// Histories with more cancellations, pipelines and late writes than usual, and fewer changes of leader.
fn play(seed: u64) -> Digest {
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
fn digests_of_random_histories_are_unchanged() {
    let played = EXPECTED.map(|(seed, _)| (seed, play(seed)));
    let mut counts = [0; TAGS];
    for (_, digest) in &played {
        counts.iter_mut().zip(digest.counts()).for_each(|(sum, count)| *sum += count);
    }
    let actual = played.map(|(seed, digest)| (seed, digest.value()));
    for (seed, value) in &actual {
        println!("    ({seed}, {value:#018x}),");
    }
    println!("counts={counts:?}");
    assert_eq!(actual, EXPECTED);
    assert_eq!(counts, EXPECTED_COUNTS);
}
