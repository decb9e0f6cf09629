//! Configuration, validated at startup: the platform's settings, a JSON file ([`Settings`]), and the operators'
//! settings, an XML file ([`Tuning`]).

mod settings;
mod slo;
mod tuning;

pub use settings::{
    CloudLimits, ClusterSettings, ControllerLimits, ExternalServices, Peer, Settings, SettingsError, SocketBudget,
    StoreLimits, Team, UpcomingStoreLimits, WorkerLimits,
};
pub use slo::{JobAges, NextSlo, Objective, ObjectiveKind, next_slo_deadline};
pub use tuning::{Tuning, TuningError, TuningErrorKind};

/// An error in reading or validating a settings file. The message begins with the file's path.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The file can't be read.
    #[error("{path}: {source}")]
    Read {
        /// Path of the file.
        path: String,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The platform's settings are invalid.
    #[error("{path}: {source}")]
    Settings {
        /// Path of the file.
        path: String,
        /// The validation error.
        source: SettingsError,
    },
    /// The operators' settings are invalid.
    #[error("{path}: {source}")]
    Tuning {
        /// Path of the file.
        path: String,
        /// The validation error with its line.
        source: TuningError,
    },
}

fn read_file(path: &str) -> Result<String, ConfigError> {
    std::fs::read_to_string(path).map_err(|source| ConfigError::Read { path: path.into(), source })
}

#[cfg(test)]
pub(crate) fn sample_settings() -> Settings {
    Settings::parse(include_str!("../tests/settings.json")).expect("sample settings are valid")
}

#[cfg(test)]
mod tests;
