//! Newtypes for identifiers, versions and counters, so that the compiler rejects one in place of another.

use serde::de::{self, Visitor};
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::fmt;
use std::sync::Arc;

/// Name of a job, such as `req-000412`, represented by its number and how many digits the number is written with.
/// Leaders compare and hash job names very often, which is faster for integers than for strings.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct JobId {
    number: u64,
    digits: u8,
}

impl JobId {
    /// Parses a job name. Returns `None` unless it consists of `req-` and 6 to 18 decimal digits.
    pub fn parse(name: &str) -> Option<JobId> {
        let digits = name.strip_prefix("req-")?;
        let is_valid = (6..=18).contains(&digits.len()) && digits.bytes().all(|byte| byte.is_ascii_digit());
        let number = digits.parse().ok().filter(|_| is_valid)?;
        Some(JobId { number, digits: digits.len() as u8 })
    }
}

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "req-{:0width$}", self.number, width = usize::from(self.digits))
    }
}

/// Name of a machine, such as `m-000231`.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Serialize, Deserialize)]
#[serde(transparent)]
pub struct MachineId(pub Arc<str>);

impl MachineId {
    /// Validates a machine name. Returns `None` if it can't be part of a key of the key-value store: it must have 1 to
    /// 100 printable ASCII characters other than `/` and `?`.
    pub fn parse(s: &str) -> Option<MachineId> {
        let is_valid =
            !s.is_empty() && s.len() <= 100 && s.bytes().all(|b| b.is_ascii_graphic() && b != b'/' && b != b'?');
        is_valid.then(|| MachineId(s.into()))
    }
}

impl fmt::Display for MachineId {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Name of one task of a job, such as `req-000412/3`.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct TaskId {
    /// The job that the task belongs to.
    pub job: JobId,
    /// Index of the task within the job, from 0.
    pub index: u32,
}

impl TaskId {
    /// Parses a task name. Returns `None` unless it is a job name, `/` and an index.
    pub fn parse(name: &str) -> Option<TaskId> {
        let (job, index) = name.split_once('/')?;
        Some(TaskId { job: JobId::parse(job)?, index: index.parse().ok()? })
    }
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{}/{}", self.job, self.index)
    }
}

/// Implements serialization as the string that `Display` writes, and deserialization by `parse`.
macro_rules! impl_serde_as_str {
    ($name:ident, $example:literal) => {
        impl Serialize for $name {
            fn serialize<S: Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
                s.collect_str(self)
            }
        }

        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D: Deserializer<'de>>(d: D) -> Result<$name, D::Error> {
                struct Name;
                impl Visitor<'_> for Name {
                    type Value = $name;
                    fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
                        f.write_str(concat!("a name such as ", $example))
                    }
                    fn visit_str<E: de::Error>(self, s: &str) -> Result<$name, E> {
                        $name::parse(s).ok_or_else(|| E::invalid_value(de::Unexpected::Str(s), &self))
                    }
                }
                d.deserialize_str(Name)
            }
        }
    };
}

impl_serde_as_str!(JobId, "req-000412");
impl_serde_as_str!(TaskId, "req-000412/3");

/// Defines a newtype of `u64` that is serialized as a number.
macro_rules! u64_newtype {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Default, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(pub u64);
        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
                write!(f, "{}", self.0)
            }
        }
    };
}

u64_newtype!(
    /// Revision of the key-value store. Each transaction increases the revision, and the new revision becomes the
    /// version of the keys that the transaction changed.
    Revision
);
u64_newtype!(
    /// A leader's term: the store revision at which it was elected. A later leader has a higher term.
    Term
);
u64_newtype!(
    /// Fencing token (PROTOCOL, "Tokens"), sent with everything that a leader sends to a worker. Workers ignore orders
    /// with a lower token than the highest that they have seen. A token combines the leader's term, in the high bits,
    /// with the machine's fence, a counter that the leader raises so that the worker rejects orders that were sent with
    /// a lower token.
    FencingToken
);
u64_newtype!(
    /// Number of an attempt to run a task. It combines the leader's term, in the high bits, with a counter of the
    /// attempts within the term.
    Attempt
);
u64_newtype!(
    /// A worker's epoch, a counter that starts at 1 and increases each time that the worker loses its lease, which ends
    /// all its tasks.
    AgentEpoch
);
u64_newtype!(
    /// Sequence number of a worker's message within its agent epoch.
    SequenceNumber
);
u64_newtype!(
    /// Identifies a lease of the key-value store (PROTOCOL, "POST /holds").
    LeaseId
);
u64_newtype!(
    /// Number of a request that the scheduler issues and the network layer carries out, unique within a term. The
    /// result of the request carries the same number.
    RequestId
);

/// Number of low-order bits of a fencing token that hold the machine's fence.
const FENCE_BITS: u32 = 14;
/// Number of low-order bits of an [`Attempt`] that hold the counter of attempts within the leader's term.
const ATTEMPT_BITS: u32 = 30;

impl FencingToken {
    /// A token that is lower than that of any leader. A message with it doesn't renew a worker's lease.
    pub const NONE: FencingToken = FencingToken(0);

    /// Combines a leader's term with a machine's fence, which must be at most [`FencingToken::max_fence`].
    pub fn new(term: Term, fence: u64) -> FencingToken {
        FencingToken((term.0 << FENCE_BITS) + fence)
    }

    /// The highest fence that a leader of this term may use. `fence_revision` is the latest revision of the leader's
    /// key that this leader wrote. The term of any later leader is a later revision of that key, so the tokens of the
    /// terms up to `fence_revision` are this leader's own.
    pub fn max_fence(term: Term, fence_revision: Revision) -> u64 {
        let later_revisions = fence_revision.0.saturating_sub(term.0);
        ((later_revisions + 1) << FENCE_BITS) - 1
    }
}

impl Attempt {
    /// Combines a leader's term with the number of the attempt within that term. As the term is part of the result, no
    /// two leaders ever use the same number.
    pub fn new(term: Term, count: u64) -> Attempt {
        Attempt((term.0 << ATTEMPT_BITS) | (count & ((1 << ATTEMPT_BITS) - 1)))
    }
}

#[cfg(test)]
mod tests;
