//! Fences of machines: the numbers in fencing tokens that a leader raises within its term, so that a worker refuses
//! orders that were sent before, however late they or copies of them arrive.

use super::Scheduler;
use crate::ids::{FencingToken, MachineId};
use log::debug;

/// Fences below the maximum that are kept for orders without a result. Before clear orders may use them, the fence
/// revision is refreshed, which raises the maximum.
const RESERVED_FENCES: u64 = 1024;

impl Scheduler {
    /// The highest fence that this leader may use now.
    fn max_fence(&self) -> u64 {
        FencingToken::max_fence(self.term, self.fence_revision())
    }

    /// Raises a machine's fence because orders to it were not answered. They may still be executed at any time during
    /// this agent epoch; once the worker has stated the new fence in a heartbeat, it refuses them. Without a higher
    /// fence the machine is retired: it gets no more tasks and is terminated.
    pub(super) fn raise_fence_for_unanswered_orders(&mut self, id: &MachineId) {
        let max_fence = self.max_fence();
        let Some(machine) = self.machines.known.get_mut(id) else { return };
        if machine.fence >= max_fence {
            machine.retiring = true;
        } else {
            machine.fence += 1;
        }
        machine.required_fence = machine.fence;
        machine.awaits_fence_ack = true;
        debug!("machine {id}: orders unanswered, fence={}", machine.fence);
    }

    /// Raises a machine's fence if the clear orders in its outbox need a higher one, see
    /// [`Machine::clears_need_higher_fence`](crate::core::machine::Machine::clears_need_higher_fence). Returns whether
    /// the clear orders may be sent now.
    pub(super) fn raise_fence_for_clears(&mut self, id: &MachineId) -> bool {
        let max_fence = self.max_fence();
        let Some(machine) = self.machines.known.get_mut(id) else { return false };
        if !machine.clears_need_higher_fence(self.term) {
            return true;
        }
        if machine.fence + RESERVED_FENCES >= max_fence {
            self.writes.request_fence_refresh();
            return false;
        }
        machine.fence += 1;
        self.fences_raised_for_clears += 1;
        debug!("machine {id}: fence raised for clear orders, fence={}", machine.fence);
        true
    }
}
