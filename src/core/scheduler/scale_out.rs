//! Scaling out: requests machines from the cloud and handles the results.

use super::Scheduler;
use super::effects::{Effect, ProvisionOutcome};
use crate::core::machine::Machine;
use crate::core::provisioning::InstancePool;
use crate::ids::MachineId;
use crate::peer::ScaleOutRequest;
use crate::time::{Millis, MonotonicTime};
use crate::wire::ProvisionRequest;
use log::{info, warn};
use std::collections::BTreeMap;

/// Limit on the machines in one provisioning request.
const MAX_MACHINES_PER_REQUEST: u32 = 50;

/// Delay before a provisioning request whose result is unknown is sent again.
const PROVISION_RETRY_INTERVAL: Millis = Millis(2_000);

/// Tolerance for rounding errors when the load requested for an instance pool, a sum of fractions of a machine, is
/// rounded up to whole machines.
const LOAD_TOLERANCE: f64 = 1e-6;

impl Scheduler {
    /// Handles the result of the provisioning request with this name.
    pub fn on_provisioned(&mut self, now: MonotonicTime, name: &str, result: ProvisionOutcome) {
        let Some(request) = self.provisioner.get(name) else { return };
        let pool = request.pool;
        match result {
            ProvisionOutcome::Provisioned(names) => {
                let requested = request.count as usize;
                self.provisioner.close(name);
                info!("provisioned={} requested={requested} {}", names.len(), self.catalog.describe(pool));
                if names.len() < requested {
                    self.provisioner.on_refused(pool, now);
                } else {
                    self.provisioner.on_granted(pool);
                }
                self.add_provisioned_machines(now, pool, &names);
            }
            ProvisionOutcome::NoCapacity => {
                info!("cloud has no capacity: {}", self.catalog.describe(pool));
                self.provisioner.close(name);
                self.provisioner.on_refused(pool, now);
            }
            ProvisionOutcome::Malformed => {
                warn!("cloud rejected provisioning request as malformed: {}", self.catalog.describe(pool));
                self.provisioner.close(name);
                self.provisioner.on_refused(pool, now);
            }
            ProvisionOutcome::Unknown => {
                // The request keeps its name, which makes the retry idempotent.
                self.provisioner.retry(name, now + PROVISION_RETRY_INTERVAL);
            }
        }
        self.rounds.request();
    }

    fn add_provisioned_machines(&mut self, now: MonotonicTime, pool: InstancePool, names: &[String]) {
        for id in names.iter().filter_map(|name| MachineId::parse(name)) {
            if !self.machines.is_terminated(&id) {
                let machine = || Machine::new(String::new(), pool.kind, pool.zone, pool.spot, now);
                self.machines.known.entry(id).or_insert_with(machine);
            }
        }
    }

    /// Turns the scale-out requests of a round's plans into provisioning requests, and sends those that are due.
    pub(super) fn scale_out(&mut self, now: MonotonicTime, requests: &[ScaleOutRequest]) {
        let mut loads: BTreeMap<InstancePool, f64> = BTreeMap::new();
        for request in requests {
            let pool = InstancePool { kind: request.type_index as usize, zone: request.zone, spot: request.spot };
            if self.catalog.has_pool(pool) {
                *loads.entry(pool).or_default() += request.load.clamp(0.0, 1.0);
            }
        }
        for (pool, load) in loads {
            let count = ((load - LOAD_TOLERANCE).ceil().max(1.0) as u32).min(MAX_MACHINES_PER_REQUEST);
            if !self.provisioner.has_request_slot() || !self.provisioner.may_request(pool, now) {
                continue;
            }
            self.provisioner.request(self.term, pool, count, now);
        }
        self.send_provision_requests(now);
    }

    fn send_provision_requests(&mut self, now: MonotonicTime) {
        for (name, request) in self.provisioner.start_due(now) {
            self.effects.push(Effect::Provision(ProvisionRequest {
                name,
                machine_type: self.catalog.types[request.pool.kind].name.clone(),
                zone: self.catalog.zones[request.pool.zone as usize].clone(),
                spot: request.pool.spot,
                count: request.count,
            }));
        }
    }
}
