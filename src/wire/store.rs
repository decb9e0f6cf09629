//! The JSON of the key-value store (PROTOCOL, "Controller nodes -> state service").

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// A key must have a revision for the transaction to be carried out.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct Precondition {
    /// The key.
    #[serde(rename = "path")]
    pub key: String,
    /// Its revision; 0: it must be absent.
    #[serde(rename = "stamp")]
    pub revision: u64,
}

/// A change of one key.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Mutation {
    /// Set the key's value.
    Put {
        /// The key.
        #[serde(rename = "write")]
        key: String,
        /// Its new value.
        value: Value,
        /// The lease that the key is attached to: it is deleted when the lease ends.
        #[serde(rename = "tenure", default, skip_serializing_if = "Option::is_none")]
        lease: Option<u64>,
    },
    /// Delete the key.
    Delete {
        /// The key.
        #[serde(rename = "drop")]
        key: String,
    },
}

impl Mutation {
    /// Sets a value without a lease.
    pub fn put(key: impl Into<String>, value: Value) -> Mutation {
        Mutation::Put { key: key.into(), value, lease: None }
    }

    /// Deletes a key.
    pub fn delete(key: impl Into<String>) -> Mutation {
        Mutation::Delete { key: key.into() }
    }
}

/// All mutations if all preconditions hold, or none (PROTOCOL, "POST /commit").
#[derive(Clone, PartialEq, Debug, Default, Serialize, Deserialize)]
pub struct Transaction {
    /// What must hold.
    #[serde(rename = "guards")]
    pub preconditions: Vec<Precondition>,
    /// What is changed, under one revision.
    #[serde(rename = "apply")]
    pub mutations: Vec<Mutation>,
}

/// A key with its value (PROTOCOL, "GET /store/{key}").
#[derive(Clone, Debug, Deserialize)]
pub struct KeyValue {
    /// The key.
    #[serde(rename = "path")]
    pub key: String,
    /// Its value.
    pub value: Value,
    /// The revision of its last change.
    #[serde(rename = "stamp")]
    pub revision: u64,
}

/// Keys with a prefix (PROTOCOL, "GET /store").
#[derive(Clone, Debug, Deserialize)]
pub struct RangeResponse {
    /// In the order of the keys.
    #[serde(rename = "rows")]
    pub entries: Vec<KeyValue>,
    /// There are more after these.
    #[serde(default)]
    pub has_next: bool,
    /// The store's revision at the time of the reading.
    #[serde(rename = "epoch")]
    pub revision: u64,
}

/// A change of a key.
#[derive(Clone, Debug, Deserialize)]
#[serde(untagged)]
pub enum WatchEvent {
    /// The key was set.
    Put {
        /// The key.
        #[serde(rename = "write")]
        key: String,
        /// Its new value.
        value: Value,
        /// The revision of the change.
        #[serde(rename = "stamp")]
        revision: u64,
    },
    /// The key was deleted.
    Delete {
        /// The key.
        #[serde(rename = "drop")]
        key: String,
    },
}

/// The changes after a revision (PROTOCOL, "GET /follow").
#[derive(Clone, Debug, Deserialize)]
pub struct WatchResponse {
    /// The store's revision; the next watch begins after it.
    #[serde(rename = "epoch")]
    pub revision: u64,
    /// All changes since, in their order.
    #[serde(rename = "log", default)]
    pub events: Vec<WatchEvent>,
}
