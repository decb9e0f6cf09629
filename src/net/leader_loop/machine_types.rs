//! The machine types that the cloud offers. The leader stores them for the other controllers.

use crate::net::node::Node;
use crate::time::Millis;
use crate::wire::{MachineType, Mutation, Precondition, Transaction};
use log::warn;
use serde_json::json;
use std::sync::Arc;

/// The key under which the first leader stores the cloud's machine types. The key is written only once.
pub const MACHINE_TYPES_KEY: &str = "ctl/kinds";
const STORE_POLL_INTERVAL: Millis = Millis(400);
const CLOUD_RETRY_BACKOFF: Millis = Millis(500);

/// Polls the store for the machine types until this controller knows them.
pub async fn poll_machine_types(node: Arc<Node>) {
    loop {
        let row = node.track_store(node.kv.get(&node.http, MACHINE_TYPES_KEY)).await;
        if let Ok(Some(row)) = row {
            match serde_json::from_value::<Vec<MachineType>>(row.value) {
                Ok(types) if !types.is_empty() => {
                    node.lock().machine_types = Some(types);
                    return;
                }
                _ => warn!("stored machine types are empty or can't be decoded: key={MACHINE_TYPES_KEY}"),
            }
        }
        if node.lock().machine_types.is_some() {
            return;
        }
        tokio::time::sleep(STORE_POLL_INTERVAL.to_std()).await;
    }
}

/// Returns the machine types for a new leader: those that this controller knows, or else those of the cloud, which
/// are stored for the other controllers.
pub(super) async fn for_leader(node: &Arc<Node>) -> Vec<MachineType> {
    loop {
        if let Some(types) = node.lock().machine_types.clone() {
            return types;
        }
        if let Ok(types) = node.cloud.machine_types(&node.http, node.now()).await
            && !types.is_empty()
        {
            let transaction = Transaction {
                preconditions: vec![Precondition { key: MACHINE_TYPES_KEY.into(), revision: 0 }],
                mutations: vec![Mutation::put(MACHINE_TYPES_KEY, json!(types))],
            };
            // If this write fails, this leader still knows the machine types, and a later leader requests them from the
            // cloud
            // again.
            let _ = node.commit(&transaction).await;
            node.lock().machine_types = Some(types);
            continue;
        }
        tokio::time::sleep(CLOUD_RETRY_BACKOFF.to_std()).await;
    }
}
