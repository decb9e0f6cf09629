//! Golden samples of everything that outlives a process or goes to another one: stored records, messages
//! between controllers, the JSON of users, workers, cloud and key-value store, and the two settings files.
//!
//! The samples under `golden/` are what this program writes. A change of names in the source must leave
//! them as they are. `stored.json` and `wire.json` hold one sample a line, so that the order of a
//! sample's members is compared as well.

#[path = "golden/calls.rs"]
mod calls;
#[path = "golden/peer.rs"]
mod peer;
#[path = "golden/samples.rs"]
mod samples;
#[path = "golden/settings.rs"]
mod settings;
#[path = "golden/stored.rs"]
mod stored;
#[path = "golden/values.rs"]
mod values;
#[path = "golden/wire.rs"]
mod wire;
