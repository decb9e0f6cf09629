//! What the program is configured with, checked before anything starts: the platform's settings (JSON,
//! [`Settings`]) and the operators' own (XML, [`Tuning`]).

mod settings;
mod slo;
mod tuning;

pub use settings::{
    CloudLimits, Cluster, External, Limits, Peer, Settings, SettingsError, SocketShares, StoreLimits, Team,
    UpcomingStoreLimits, WorkerLimits,
};
pub use slo::{JobAges, NextSlo, Objective, ObjectiveKind, next_slo_deadline};
pub use tuning::{Tuning, TuningError, TuningErrorKind};

/// Why a file of settings can't be used. The message begins with the file's path.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The file can't be read.
    #[error("{path}: {source}")]
    Read {
        /// Path of the file.
        path: String,
        /// What the system says.
        source: std::io::Error,
    },
    /// The platform's settings aren't valid.
    #[error("{path}: {source}")]
    Settings {
        /// Path of the file.
        path: String,
        /// What is wrong with them.
        source: SettingsError,
    },
    /// The operators' settings aren't valid.
    #[error("{path}: {source}")]
    Tuning {
        /// Path of the file.
        path: String,
        /// What is wrong with them, and in which line.
        source: TuningError,
    },
}

fn read(path: &str) -> Result<String, ConfigError> {
    std::fs::read_to_string(path).map_err(|source| ConfigError::Read { path: path.into(), source })
}

#[cfg(test)]
pub(crate) fn sample_settings() -> Settings {
    Settings::parse(include_str!("../tests/settings.json")).expect("the sample is valid")
}

#[cfg(test)]
mod tests;
