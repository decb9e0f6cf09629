//! Small types for names, versions and counters, so that they can't be mixed up.

use serde::de::{self, Visitor};
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::fmt;
use std::sync::Arc;

/// Name of a job, such as `req-000412`: its number, and with how many digits it is written. Leaders
/// compare names all the time, so they are numbers here, not text.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct JobId {
    number: u64,
    digits: u8,
}

impl JobId {
    /// The job of that name; none if it hasn't the one form of job names: `req-` and six to 18 digits.
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
    /// The machine of that name; none if it can't be part of a key of the key-value store.
    pub fn parse(s: &str) -> Option<MachineId> {
        let ok = !s.is_empty() && s.len() <= 100 && s.bytes().all(|b| b.is_ascii_graphic() && b != b'/' && b != b'?');
        ok.then(|| MachineId(s.into()))
    }
}

impl fmt::Display for MachineId {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// One task of a job: `req-000412/3`.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct TaskId {
    /// The job.
    pub job: JobId,
    /// The task's number within the job, from 0.
    pub index: u32,
}

impl TaskId {
    /// The task of that name; none if no task can have it.
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

/// JSON of a name: the text that it is written as.
macro_rules! name_as_text {
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

name_as_text!(JobId, "req-000412");
name_as_text!(TaskId, "req-000412/3");

macro_rules! counter {
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

counter!(
    /// Revision of the key-value store: rises with each transaction, and is the version of the keys it changed.
    Revision
);
counter!(
    /// The revision at which a leader was elected; later leaders have larger ones.
    Term
);
counter!(
    /// Fencing token (PROTOCOL, "Tokens"): entitles to give a worker orders; term and fence in one number.
    FencingToken
);
counter!(
    /// Number of one start of a task; term and a count in one number.
    Attempt
);
counter!(
    /// A worker's count of its lost leases, from 1.
    AgentEpoch
);
counter!(
    /// A worker's count of its messages within an agent epoch.
    SequenceNumber
);
counter!(
    /// A lease of the key-value store (PROTOCOL, "POST /holds").
    LeaseId
);
counter!(
    /// Number of a request that the scheduler has the edges carry out, unique in a term; the result comes back
    /// under it.
    RequestId
);

const FENCE_BITS: u32 = 14;
const ATTEMPT_BITS: u32 = 30;

impl FencingToken {
    /// Below every token that has been given out.
    pub const NONE: FencingToken = FencingToken(0);

    /// The token of a term with a fence of at most [`MAX_FENCE`].
    pub fn new(term: Term, fence: u64) -> FencingToken {
        FencingToken((term.0 << FENCE_BITS) | (fence & ((1 << FENCE_BITS) - 1)))
    }
}

/// How often a fence may rise within a term; a leader that gets there hands over.
pub const MAX_FENCE: u64 = (1 << FENCE_BITS) - 1;

impl Attempt {
    /// Attempts carry the term, so that no two leaders ever choose the same number.
    pub fn new(term: Term, count: u64) -> Attempt {
        Attempt((term.0 << ATTEMPT_BITS) | (count & ((1 << ATTEMPT_BITS) - 1)))
    }
}

#[cfg(test)]
mod tests;
