//! Golden tests of all data that outlives a process or is sent to another one: stored records, messages between
//! controllers, the JSON exchanged with users, workers, the cloud and the key-value store, and the two settings files.
//!
//! The samples under `golden/` are the exact text that this program writes, or text of other versions and services
//! that it must be able to read. Renaming items in the source must not change them. Samples in `stored.json` and
//! `wire.json` are on one line each and are compared as text, so the order of their fields is checked as well.

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
