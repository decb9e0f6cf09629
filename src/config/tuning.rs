//! The operators' settings (XML).

use super::ConfigError;
use quick_xml::Reader;
use quick_xml::events::{BytesStart, Event};
use std::ops::RangeInclusive;

/// The root element of the file.
const ROOT: &str = "wallstile";

/// The operators' settings. All are optional; docs/operations.md explains each.
#[derive(Clone, Debug, PartialEq)]
pub struct Tuning {
    /// The paper's B: how much dearer than the cheapest a job may be, as a part of the range.
    pub budget_share: f64,
    /// Median life of a spot machine that the log-normal distribution starts with, in seconds.
    pub spot_median_s: f64,
    /// Sigma of that distribution.
    pub spot_sigma: f64,
    /// The window of the unfilled spot request (paper, eq. 8), in seconds.
    pub spot_window_s: f64,
    /// Seconds after which an idle machine is terminated.
    pub idle_s: f64,
    /// A GPU machine may be idle for this many times as long.
    pub gpu_idle_factor: f64,
    /// Stands in for the run time of services in costs, in seconds.
    pub service_horizon_s: f64,
    /// Tasks placed in a round while little waits.
    pub batch_min: f64,
    /// The most tasks placed in a round.
    pub batch_max: f64,
    /// Shortest time between two rounds, in milliseconds.
    pub round_ms: f64,
    /// Requests of users in flight at once; more get 503.
    pub user_requests: f64,
    /// Capacity is reserved for a gang that has waited this many seconds.
    pub gang_reservation_wait_s: f64,
}

impl Default for Tuning {
    fn default() -> Tuning {
        Tuning {
            budget_share: 0.25,
            spot_median_s: 5400.0,
            spot_sigma: 1.0,
            spot_window_s: 10.0,
            idle_s: 20.0,
            gpu_idle_factor: 2.0,
            service_horizon_s: 600.0,
            batch_min: 64.0,
            batch_max: 1024.0,
            round_ms: 150.0,
            user_requests: 64.0,
            gang_reservation_wait_s: 120.0,
        }
    }
}

/// Why the operators' settings can't be used, and where.
#[derive(Debug, thiserror::Error)]
#[error("line {line}: {kind}")]
pub struct TuningError {
    /// The line of the file, from 1.
    pub line: usize,
    /// What is wrong there.
    pub kind: TuningErrorKind,
}

/// What is wrong with the operators' settings. Names are those of elements.
#[derive(Debug, thiserror::Error)]
pub enum TuningErrorKind {
    /// The file isn't well-formed XML.
    #[error(transparent)]
    Syntax(#[from] quick_xml::Error),
    /// A setting is given a second time.
    #[error("<{0}> stands twice")]
    Repeated(String),
    /// There is no such setting, or not in this place.
    #[error("unknown element <{0}>")]
    UnknownElement(String),
    /// Settings have no attributes.
    #[error("<{0}> takes no attributes")]
    Attributes(String),
    /// A setting has no value.
    #[error("<{0}> is empty")]
    Empty(String),
    /// A setting's value isn't a number.
    #[error("<{name}> holds no number: {text:?}")]
    NotANumber {
        /// The setting.
        name: String,
        /// What stands there.
        text: String,
    },
    /// A setting's value is beyond its bounds.
    #[error("<{name}> must be {least} to {most}, not {value}")]
    OutOfRange {
        /// The setting.
        name: String,
        /// The least value that it may have.
        least: f64,
        /// The greatest value that it may have.
        most: f64,
        /// The value that it has.
        value: f64,
    },
    /// There is text between the settings.
    #[error("stray text in <{0}>")]
    StrayText(String),
    /// The root element is missing or isn't closed.
    #[error("the document ends before </wallstile>")]
    Truncated,
    /// The least batch is larger than the greatest.
    #[error("batch-min is above batch-max")]
    BatchBounds,
}

impl Tuning {
    /// The setting of that element and the bounds of its value.
    fn setting(&mut self, element: &str) -> Option<(&mut f64, RangeInclusive<f64>)> {
        Some(match element {
            "budget-share" => (&mut self.budget_share, 0.0..=1.0),
            "spot-median-s" => (&mut self.spot_median_s, 1.0..=1e7),
            "spot-sigma" => (&mut self.spot_sigma, 0.01..=10.0),
            "spot-window-s" => (&mut self.spot_window_s, 0.0..=3600.0),
            "idle-s" => (&mut self.idle_s, 0.0..=86_400.0),
            "gpu-idle-factor" => (&mut self.gpu_idle_factor, 0.1..=1000.0),
            "service-horizon-s" => (&mut self.service_horizon_s, 1.0..=1e7),
            "batch-min" => (&mut self.batch_min, 1.0..=100_000.0),
            "batch-max" => (&mut self.batch_max, 1.0..=100_000.0),
            "round-ms" => (&mut self.round_ms, 10.0..=60_000.0),
            "user-requests" => (&mut self.user_requests, 1.0..=10_000.0),
            "gather-s" => (&mut self.gang_reservation_wait_s, 0.0..=86_400.0),
            _ => return None,
        })
    }

    /// Reads and checks a file. Errors name its path and the line.
    pub fn load(path: &str) -> Result<Tuning, ConfigError> {
        let text = super::read(path)?;
        Tuning::parse(&text).map_err(|source| ConfigError::Tuning { path: path.into(), source })
    }

    /// Reads and checks the text of a file: `<wallstile><idle-s>60</idle-s>...</wallstile>`.
    pub fn parse(text: &str) -> Result<Tuning, TuningError> {
        let mut parser = TuningParser::default();
        let mut reader = Reader::from_str(text);
        loop {
            let event = reader.read_event();
            let position = (reader.buffer_position() as usize).min(text.len());
            let at_line = |kind: TuningErrorKind| {
                let line = text.as_bytes()[..position].iter().filter(|byte| **byte == b'\n').count() + 1;
                TuningError { line, kind }
            };
            match event.map_err(|error| at_line(error.into()))? {
                Event::Start(element) => parser.start(&element).map_err(at_line)?,
                Event::Empty(element) => parser.empty(&element).map_err(at_line)?,
                Event::Text(text) => parser.content.push_str(&text.xml10_content()),
                Event::End(_) => parser.end().map_err(at_line)?,
                Event::Eof => {
                    let tuning = parser.finish().map_err(at_line)?;
                    return tuning.check_batch().map_err(|kind| TuningError { line: 1, kind });
                }
                _ => {}
            }
        }
    }

    fn check_batch(self) -> Result<Tuning, TuningErrorKind> {
        if self.batch_min > self.batch_max { Err(TuningErrorKind::BatchBounds) } else { Ok(self) }
    }
}

/// What has been read of a file.
#[derive(Default)]
struct TuningParser {
    tuning: Tuning,
    /// The elements that are open, the outermost first.
    open: Vec<String>,
    /// All elements so far.
    seen: Vec<String>,
    /// Text since the last setting began or ended.
    content: String,
}

impl TuningParser {
    fn start(&mut self, element: &BytesStart) -> Result<(), TuningErrorKind> {
        let name = element.name().as_ref().to_string();
        let is_repeated = self.seen.contains(&name);
        match self.open.len() {
            0 if name == ROOT && self.seen.is_empty() => {}
            1 if is_repeated => return Err(TuningErrorKind::Repeated(name)),
            1 if self.tuning.setting(&name).is_some() => {}
            _ => return Err(TuningErrorKind::UnknownElement(name)),
        }
        if element.attributes().next().is_some() {
            return Err(TuningErrorKind::Attributes(name));
        }
        self.seen.push(name.clone());
        self.content.clear();
        self.open.push(name);
        Ok(())
    }

    /// `<name/>`: only the root element may have no content.
    fn empty(&mut self, element: &BytesStart) -> Result<(), TuningErrorKind> {
        let name = element.name().as_ref().to_string();
        if !self.open.is_empty() || name != ROOT {
            return Err(TuningErrorKind::Empty(name));
        }
        self.seen.push(name);
        Ok(())
    }

    fn end(&mut self) -> Result<(), TuningErrorKind> {
        let name = self.open.pop().unwrap_or_default();
        let text = self.content.trim();
        if self.open.len() != 1 {
            return if text.is_empty() { Ok(()) } else { Err(TuningErrorKind::StrayText(name)) };
        }
        let Ok(value) = text.parse::<f64>() else {
            return Err(TuningErrorKind::NotANumber { name, text: text.to_string() });
        };
        if let Some((setting, bounds)) = self.tuning.setting(&name) {
            if !bounds.contains(&value) {
                let (least, most) = bounds.into_inner();
                return Err(TuningErrorKind::OutOfRange { name, least, most, value });
            }
            *setting = value;
        }
        self.content.clear();
        Ok(())
    }

    fn finish(&mut self) -> Result<Tuning, TuningErrorKind> {
        if self.seen.is_empty() || !self.open.is_empty() {
            return Err(TuningErrorKind::Truncated);
        }
        Ok(std::mem::take(&mut self.tuning))
    }
}
