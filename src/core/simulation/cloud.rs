//! Model of the cloud, which provisions and terminates machines and has capacity for a few only.

use super::*;

/// Maximum number of machines that exist at the same time.
const MAX_MACHINES: usize = 12;
/// Maximum number of machines provisioned for one request.
const MAX_MACHINES_PER_REQUEST: u32 = 2;

impl Simulation {
    /// Provisions machines, which finish booting some time later. A request with the name of an earlier one returns the
    /// machines provisioned for the earlier one.
    pub(super) fn provision(&mut self, request: &ProvisionRequest) -> ProvisionOutcome {
        if let Some(names) = self.provision_requests.get(&request.name) {
            return ProvisionOutcome::Provisioned(names.clone());
        }
        if self.workers.iter().filter(|worker| !worker.is_gone).count() >= MAX_MACHINES {
            return ProvisionOutcome::NoCapacity;
        }
        let type_index = self.types.iter().position(|machine_type| machine_type.name == request.machine_type).unwrap();
        let zone_index = self.types[type_index].zones.iter().position(|zone| *zone == request.zone).unwrap();
        let names: Vec<String> = (0..request.count.min(MAX_MACHINES_PER_REQUEST))
            .map(|_| {
                let boots_at = self.now + self.rng.random_range(100..12_000);
                self.add_worker(type_index, zone_index, request.spot, boots_at)
            })
            .collect();
        self.provision_requests.insert(request.name.clone(), names.clone());
        ProvisionOutcome::Provisioned(names)
    }

    pub(super) fn terminate(&mut self, name: &str) {
        let index: usize = name[2..].parse().unwrap();
        self.workers[index].is_gone = true;
        self.workers[index].tasks.clear();
    }
}
