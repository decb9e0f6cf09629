//! The known machine types, zones and images, which the scheduler refers to by number.

use crate::core::provisioning::InstancePool;
use crate::wire::MachineType;
use std::collections::HashMap;

/// Numbers of machine types, zones and images. A number, once assigned, does not change during a leader's term.
pub(super) struct Catalog {
    /// Machine types, by number.
    pub(super) types: Vec<MachineType>,
    /// Names of zones, by number.
    pub(super) zones: Vec<String>,
    /// Numbers of images by name, assigned in the order in which images are first seen.
    images: HashMap<String, u32>,
}

impl Catalog {
    /// Creates a catalog of these types and zones, without images.
    pub(super) fn new(types: Vec<MachineType>, zones: Vec<String>) -> Catalog {
        Catalog { types, zones, images: HashMap::new() }
    }

    /// The numbers of the machine type and the zone with these names. Returns `None` if either is unknown.
    pub(super) fn type_and_zone_numbers(&self, kind: &str, zone: &str) -> Option<(usize, u32)> {
        let kind = self.types.iter().position(|machine_type| machine_type.name == kind)?;
        let zone = self.zones.iter().position(|known| known == zone)?;
        Some((kind, zone as u32))
    }

    /// Updates the types from the cloud's list, as prices may change. Known types keep their numbers. Returns the
    /// number of new types.
    pub(super) fn set_types(&mut self, types: Vec<MachineType>) -> usize {
        let before = self.types.len();
        for machine_type in types {
            match self.types.iter_mut().find(|known| known.name == machine_type.name) {
                Some(known) => *known = machine_type,
                None => self.types.push(machine_type),
            }
        }
        self.types.len() - before
    }

    /// The number of the image with this name. Returns `None` if no number has been assigned.
    pub(super) fn image_number(&self, image: &str) -> Option<u32> {
        self.images.get(image).copied()
    }

    /// The number of the image with this name. If the image has none, the next number is assigned.
    pub(super) fn assign_image_number(&mut self, image: &str) -> u32 {
        let next = self.images.len() as u32;
        *self.images.entry(image.to_string()).or_insert(next)
    }

    /// Whether the machine type and the zone of an instance pool are known.
    pub(super) fn has_pool(&self, pool: InstancePool) -> bool {
        pool.kind < self.types.len() && (pool.zone as usize) < self.zones.len()
    }

    /// Log fields that describe a pool.
    pub(super) fn describe(&self, pool: InstancePool) -> String {
        format!("kind={} zone={} spot={}", self.types[pool.kind].name, self.zones[pool.zone as usize], pool.spot)
    }
}

#[cfg(test)]
mod tests;
