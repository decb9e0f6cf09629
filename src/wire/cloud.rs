//! The JSON of the cloud (PROTOCOL, "Controller nodes -> cloud").

use serde::{Deserialize, Serialize};

/// A type of machine (PROTOCOL, "GET /machine_types").
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct MachineType {
    /// Its name.
    #[serde(rename = "sku")]
    pub name: String,
    /// Processors.
    #[serde(rename = "cores")]
    pub cpus: f64,
    /// GPUs.
    #[serde(default)]
    pub gpus: f64,
    /// Memory, in GB.
    #[serde(rename = "ram_gb")]
    pub memory_gb: f64,
    /// Space for cached images, in GB.
    #[serde(rename = "local_gb", default)]
    pub cache_gb: f64,
    /// Nominal rate of image fetches, in GB per second, shared by parallel fetches.
    #[serde(default = "one")]
    pub fetch_gb_per_s: f64,
    /// Price per hour, charged by the second from the request on, for at least 60 s.
    pub price: f64,
    /// Current price per hour of spot machines.
    #[serde(rename = "market_price")]
    pub spot_price: f64,
    /// Usual time from the request until it is up, in seconds.
    #[serde(rename = "startup_s", default)]
    pub boot_s: f64,
    /// Zones that offer it.
    #[serde(rename = "quays", default)]
    pub zones: Vec<String>,
}

fn one() -> f64 {
    1.0
}

/// The answer to "GET /machine_types".
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct MachineTypes {
    /// All types.
    pub builds: Vec<MachineType>,
}

/// A request for machines of one instance pool (PROTOCOL, "POST /machines").
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct ProvisionRequest {
    /// Name of the request: one that was granted is answered again, and provisions nothing more.
    #[serde(rename = "hire")]
    pub name: String,
    /// Name of the type.
    #[serde(rename = "build")]
    pub kind: String,
    /// The zone.
    #[serde(rename = "quay")]
    pub zone: String,
    /// Spot machines.
    #[serde(rename = "loaner")]
    pub spot: bool,
    /// The most machines to provision, at most 50.
    pub number: u32,
}

/// Names of machines: the answer to a [`ProvisionRequest`], and the request to terminate (at most 100).
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct MachineNames {
    /// The names.
    pub plinths: Vec<String>,
}

/// State of a machine in the cloud's list.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ListPhase {
    /// Not up yet; some never are.
    Starting,
    /// Up, or dead since a short while.
    Running,
    /// It has stopped by itself; listed until it is terminated.
    Failed,
}

/// A machine in the cloud's list.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ListedMachine {
    /// Its name.
    pub id: String,
    /// Where its worker takes orders, once it is known.
    #[serde(default)]
    pub endpoint: Option<String>,
    /// Name of its type.
    #[serde(rename = "build")]
    pub kind: String,
    /// Its zone.
    #[serde(rename = "quay")]
    pub zone: String,
    /// It is a spot machine.
    #[serde(rename = "loaner")]
    pub spot: bool,
    /// Its state.
    pub phase: ListPhase,
    /// Seconds from the request for it to the time that the list describes.
    #[serde(default)]
    pub age_s: f64,
}

/// A part of the cloud's list, which is out of date (PROTOCOL, "GET /machines").
#[derive(Clone, Debug, Deserialize)]
pub struct MachineList {
    /// Machines in the order of their names, which is that of their creation.
    pub plinths: Vec<ListedMachine>,
    /// There are more after these.
    #[serde(default)]
    pub has_next: bool,
}
