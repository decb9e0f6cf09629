//! JSON messages of the cloud's interface (PROTOCOL, "Controller nodes -> cloud").

use serde::{Deserialize, Serialize};

/// A machine type (PROTOCOL, "GET /machine_types").
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct MachineType {
    /// Name of the type.
    #[serde(rename = "sku")]
    pub name: String,
    /// Number of CPUs.
    #[serde(rename = "cores")]
    pub cpus: f64,
    /// Number of GPUs.
    #[serde(default)]
    pub gpus: f64,
    /// Memory, in GB.
    #[serde(rename = "ram_gb")]
    pub memory_gb: f64,
    /// Space for cached images, in GB.
    #[serde(rename = "local_gb", default)]
    pub cache_gb: f64,
    /// Nominal bandwidth of image fetches, in GB per second, shared by concurrent fetches.
    #[serde(default = "default_fetch_gb_per_s")]
    pub fetch_gb_per_s: f64,
    /// Price per hour of on-demand machines, charged by the second from the request on, for at least 60 s.
    pub price: f64,
    /// Current price per hour of spot machines, charged in the same way.
    #[serde(rename = "market_price")]
    pub spot_price: f64,
    /// Usual time from the request until a machine is up, in seconds.
    #[serde(rename = "startup_s", default)]
    pub boot_s: f64,
    /// Zones in which it is offered.
    #[serde(rename = "quays", default)]
    pub zones: Vec<String>,
}

fn default_fetch_gb_per_s() -> f64 {
    1.0
}

/// The response to "GET /machine_types".
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct MachineTypes {
    /// All machine types.
    #[serde(rename = "builds")]
    pub types: Vec<MachineType>,
}

/// A request for machines of one instance pool (PROTOCOL, "POST /machines").
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct ProvisionRequest {
    /// Name of the request, which makes it idempotent: if a request of this name was granted before, the cloud repeats
    /// its response and provisions nothing more.
    #[serde(rename = "hire")]
    pub name: String,
    /// Name of the machine type.
    #[serde(rename = "build")]
    pub machine_type: String,
    /// Zone to provision in.
    #[serde(rename = "quay")]
    pub zone: String,
    /// Whether spot machines are requested.
    #[serde(rename = "loaner")]
    pub spot: bool,
    /// Maximum number of machines to provision, 50 or less.
    #[serde(rename = "number")]
    pub count: u32,
}

/// Names of machines: the response to a [`ProvisionRequest`], and the body of a termination request (at most 100).
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct MachineNames {
    /// The names.
    #[serde(rename = "plinths")]
    pub names: Vec<String>,
}

/// Phase of a machine in the cloud's list.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MachinePhase {
    /// Not up yet. Some machines never come up.
    Starting,
    /// Up, or stopped only recently.
    Running,
    /// It has stopped without a termination request. It stays in the list until it is terminated.
    Failed,
}

/// A machine in the cloud's list.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ListedMachine {
    /// Name of the machine.
    pub id: String,
    /// Address at which its worker receives orders; `None` until it is known.
    #[serde(default)]
    pub endpoint: Option<String>,
    /// Name of its machine type.
    #[serde(rename = "build")]
    pub machine_type: String,
    /// Its zone.
    #[serde(rename = "quay")]
    pub zone: String,
    /// Whether it is a spot machine.
    #[serde(rename = "loaner")]
    pub spot: bool,
    /// Its phase.
    pub phase: MachinePhase,
    /// Seconds between the request that provisioned it and the time that the list describes.
    #[serde(default)]
    pub age_s: f64,
}

/// A page of the cloud's list of machines, which lags behind their actual state (PROTOCOL, "GET /machines").
#[derive(Clone, Debug, Deserialize)]
pub struct MachineList {
    /// The machines, ordered by name, which is the order of their creation.
    #[serde(rename = "plinths")]
    pub machines: Vec<ListedMachine>,
    /// Whether there are more pages.
    #[serde(default)]
    pub has_next: bool,
}
