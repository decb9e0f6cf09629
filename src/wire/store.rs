//! JSON messages of the key-value store's interface (PROTOCOL, "Controller nodes -> state service").

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// A precondition of a transaction: a key must have a certain revision for the transaction to be committed.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct Precondition {
    /// Key that the precondition applies to.
    #[serde(rename = "path")]
    pub key: String,
    /// Revision that the key must have. 0 means that the key must be absent.
    #[serde(rename = "stamp")]
    pub revision: u64,
}

/// A change of one key in a transaction.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Mutation {
    /// Set the value of a key.
    Put {
        /// Key whose value is set.
        #[serde(rename = "write")]
        key: String,
        /// New value of the key.
        value: Value,
        /// Lease that the key is attached to, if any: the store deletes the key when the lease ends.
        #[serde(rename = "tenure", default, skip_serializing_if = "Option::is_none")]
        lease: Option<u64>,
    },
    /// Delete a key.
    Delete {
        /// Key that is deleted.
        #[serde(rename = "drop")]
        key: String,
    },
}

impl Mutation {
    /// Creates a mutation that sets the value of a key, without a lease.
    pub fn put(key: impl Into<String>, value: Value) -> Mutation {
        Mutation::Put { key: key.into(), value, lease: None }
    }

    /// Creates a mutation that deletes a key.
    pub fn delete(key: impl Into<String>) -> Mutation {
        Mutation::Delete { key: key.into() }
    }
}

/// An atomic transaction: all mutations are applied if all preconditions hold, otherwise none is (PROTOCOL, "POST
/// /commit").
#[derive(Clone, PartialEq, Debug, Default, Serialize, Deserialize)]
pub struct Transaction {
    /// Conditions that must all hold for the mutations to be applied.
    #[serde(rename = "guards")]
    pub preconditions: Vec<Precondition>,
    /// Changes to apply. All changed keys get the same revision.
    #[serde(rename = "apply")]
    pub mutations: Vec<Mutation>,
}

/// A key and its value (PROTOCOL, "GET /store/{key}").
#[derive(Clone, Debug, Deserialize)]
pub struct KeyValue {
    /// Name of the key.
    #[serde(rename = "path")]
    pub key: String,
    /// Value of the key.
    pub value: Value,
    /// Store revision at which the key was last changed.
    #[serde(rename = "stamp")]
    pub revision: u64,
}

/// A page of the keys that begin with a prefix (PROTOCOL, "GET /store").
#[derive(Clone, Debug, Deserialize)]
pub struct RangeResponse {
    /// The entries, ordered by key.
    #[serde(rename = "rows")]
    pub entries: Vec<KeyValue>,
    /// Whether the range has more pages after this one.
    #[serde(default)]
    pub has_next: bool,
    /// Revision of the store at the time of the read.
    #[serde(rename = "epoch")]
    pub revision: u64,
}

/// A change of a key that a watch reports.
#[derive(Clone, Debug, Deserialize)]
#[serde(untagged)]
pub enum WatchEvent {
    /// The key was set.
    Put {
        /// Key that was set.
        #[serde(rename = "write")]
        key: String,
        /// New value of the key.
        value: Value,
        /// Store revision of the change.
        #[serde(rename = "stamp")]
        revision: u64,
    },
    /// The key was deleted.
    Delete {
        /// Key that was deleted.
        #[serde(rename = "drop")]
        key: String,
    },
}

/// The changes of watched keys after a revision (PROTOCOL, "GET /follow").
#[derive(Clone, Debug, Deserialize)]
pub struct WatchResponse {
    /// Revision of the store that the changes lead up to. The next watch request continues from this revision.
    #[serde(rename = "epoch")]
    pub revision: u64,
    /// All changes of the watched keys since the requested revision, in order.
    #[serde(rename = "log", default)]
    pub events: Vec<WatchEvent>,
}
