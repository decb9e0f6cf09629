//! The machine types, zones and images that the scheduler knows, each by a number.

use crate::wire::MachineType;
use std::collections::HashMap;

/// Types keep their numbers for as long as a leader leads.
pub(super) struct Catalog {
    pub types: Vec<MachineType>,
    pub zones: Vec<String>,
    /// Numbers of images, given as they are first seen.
    pub images: HashMap<String, u32>,
}

impl Catalog {
    pub fn new(types: Vec<MachineType>, zones: Vec<String>) -> Catalog {
        Catalog { types, zones, images: HashMap::new() }
    }
}
