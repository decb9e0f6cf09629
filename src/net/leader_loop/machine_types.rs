//! The machine types that the cloud offers, kept in the store for the controllers that don't lead.

use crate::net::node::Node;
use crate::time::Millis;
use crate::wire::{MachineType, Mutation, Precondition, Transaction};
use log::warn;
use serde_json::json;
use std::sync::Arc;

/// The store's key of the machine types, written once by the first leader.
pub const MACHINE_TYPES_KEY: &str = "ctl/kinds";
const STORE_POLL_INTERVAL: Millis = Millis(400);
const CLOUD_RETRY_BACKOFF: Millis = Millis(500);

/// Reads the machine types from the store until this controller knows them.
pub async fn learn_types(node: Arc<Node>) {
    loop {
        let row = node.track_store(node.kv.get(&node.http, MACHINE_TYPES_KEY)).await;
        if let Ok(Some(row)) = row {
            match serde_json::from_value::<Vec<MachineType>>(row.value) {
                Ok(types) if !types.is_empty() => {
                    node.lock().types = Some(types);
                    return;
                }
                _ => warn!("machine types can't be read: key={MACHINE_TYPES_KEY}"),
            }
        }
        if node.lock().types.is_some() {
            return;
        }
        tokio::time::sleep(STORE_POLL_INTERVAL.to_std()).await;
    }
}

/// The machine types for a new leader: those known, or else the cloud's, which it stores for all.
pub(super) async fn for_leader(node: &Arc<Node>) -> Vec<MachineType> {
    loop {
        if let Some(types) = node.lock().types.clone() {
            return types;
        }
        if let Ok(types) = node.cloud.types(&node.http, node.now()).await
            && !types.is_empty()
        {
            let transaction = Transaction {
                preconditions: vec![Precondition { key: MACHINE_TYPES_KEY.into(), revision: 0 }],
                mutations: vec![Mutation::put(MACHINE_TYPES_KEY, json!(types))],
            };
            // Stored or not, this leader knows them; another one asks the cloud again.
            let _ = node.commit(&transaction).await;
            node.lock().types = Some(types);
            continue;
        }
        tokio::time::sleep(CLOUD_RETRY_BACKOFF.to_std()).await;
    }
}
