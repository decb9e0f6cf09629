//! The operators' settings (XML).

use super::ConfigError;
use quick_xml::Reader;
use quick_xml::events::{BytesStart, Event};
use std::ops::RangeInclusive;

/// Name of the root element.
const ROOT_ELEMENT: &str = "wallstile";

/// The operators' settings, which tune the scheduler. All are optional; docs/operations.md explains each.
#[derive(Clone, Debug, PartialEq)]
pub struct Tuning {
    /// How much more than on the cheapest candidate machine a task may cost on average, as a fraction, 0 to 1, of the
    /// difference in cost between the most expensive and the cheapest candidate. This fraction is B in the paper that
    /// [`crate::core::placement`] follows.
    pub budget_share: f64,
    /// Initial median of the log-normal distribution of spot machines' lifetimes, in seconds.
    pub spot_median_s: f64,
    /// Sigma of the log-normal distribution of spot machines' lifetimes: the standard deviation of the natural
    /// logarithm of the lifetime in seconds.
    pub spot_sigma: f64,
    /// Margin in seconds: a job stops waiting for new spot machines once its slack, the time between its expected
    /// finish and the latest acceptable one, is less than the time it has waited plus this margin. The margin is w in
    /// equation 8 of the paper that [`crate::core::placement`] follows.
    pub spot_window_s: f64,
    /// Seconds after which an idle machine is terminated.
    pub idle_timeout_s: f64,
    /// Factor by which a GPU machine may be idle longer than [`Tuning::idle_timeout_s`].
    pub gpu_idle_factor: f64,
    /// Run time that the planner assumes for tasks of services, which have no end, in seconds.
    pub service_horizon_s: f64,
    /// Lower bound on the batch size, the number of tasks that a planning round may place on machines that are up. The
    /// batch size grows with the number of ready tasks.
    pub batch_min: f64,
    /// Upper bound on the batch size, the number of tasks that a planning round may place on machines that are up.
    pub batch_max: f64,
    /// Minimum time between the starts of two planning rounds, in milliseconds. An overloaded leader waits longer
    /// between rounds.
    pub min_round_interval_ms: f64,
    /// Maximum number of user requests in progress at a time. Further requests are answered with status 503.
    pub max_user_requests: f64,
    /// Time in seconds that a gang waits to be placed once its dependencies are done; after that time, capacity is
    /// reserved for the gang.
    pub gang_reservation_wait_s: f64,
}

impl Default for Tuning {
    fn default() -> Tuning {
        Tuning {
            budget_share: 0.25,
            spot_median_s: 5400.0,
            spot_sigma: 1.0,
            spot_window_s: 10.0,
            idle_timeout_s: 20.0,
            gpu_idle_factor: 2.0,
            service_horizon_s: 600.0,
            batch_min: 64.0,
            batch_max: 1024.0,
            min_round_interval_ms: 150.0,
            max_user_requests: 64.0,
            gang_reservation_wait_s: 120.0,
        }
    }
}

/// An error in the operators' settings, with its position.
#[derive(Debug, thiserror::Error)]
#[error("line {line}: {kind}")]
pub struct TuningError {
    /// Line of the file, from 1.
    pub line: usize,
    /// Kind of the error.
    pub kind: TuningErrorKind,
}

/// Kinds of errors in the operators' settings. Their messages name settings by XML element.
#[derive(Debug, thiserror::Error)]
pub enum TuningErrorKind {
    /// The file isn't well-formed XML.
    #[error(transparent)]
    Syntax(#[from] quick_xml::Error),
    /// A setting occurs more than once.
    #[error("<{0}> stands twice")]
    Repeated(String),
    /// There is no setting of this name, or the element is misplaced.
    #[error("unknown element <{0}>")]
    UnknownElement(String),
    /// An element has attributes, which no setting takes.
    #[error("<{0}> takes no attributes")]
    Attributes(String),
    /// A setting has no value.
    #[error("<{0}> is empty")]
    Empty(String),
    /// A setting's value isn't a number.
    #[error("<{name}> holds no number: {text:?}")]
    NotANumber {
        /// Name of the setting's XML element.
        name: String,
        /// Text that the setting's element contains.
        text: String,
    },
    /// A setting's value is out of range.
    #[error("<{name}> must be {min} to {max}, not {value}")]
    OutOfRange {
        /// Name of the setting's XML element.
        name: String,
        /// Lowest value that the setting may have.
        min: f64,
        /// Highest value that the setting may have.
        max: f64,
        /// The setting's value in the file.
        value: f64,
    },
    /// The root element contains text after the last setting.
    #[error("stray text in <{0}>")]
    StrayText(String),
    /// The root element is missing or not closed.
    #[error("the document ends before </wallstile>")]
    Truncated,
    /// The minimum batch size exceeds the maximum.
    #[error("batch-min is above batch-max")]
    BatchBounds,
}

impl Tuning {
    /// Returns the setting that an XML element holds and the range of values that it may have. Returns `None` if there
    /// is no such setting.
    fn setting(&mut self, element: &str) -> Option<(&mut f64, RangeInclusive<f64>)> {
        Some(match element {
            "budget-share" => (&mut self.budget_share, 0.0..=1.0),
            "spot-median-s" => (&mut self.spot_median_s, 1.0..=1e7),
            "spot-sigma" => (&mut self.spot_sigma, 0.01..=10.0),
            "spot-window-s" => (&mut self.spot_window_s, 0.0..=3600.0),
            "idle-s" => (&mut self.idle_timeout_s, 0.0..=86_400.0),
            "gpu-idle-factor" => (&mut self.gpu_idle_factor, 0.1..=1000.0),
            "service-horizon-s" => (&mut self.service_horizon_s, 1.0..=1e7),
            "batch-min" => (&mut self.batch_min, 1.0..=100_000.0),
            "batch-max" => (&mut self.batch_max, 1.0..=100_000.0),
            "round-ms" => (&mut self.min_round_interval_ms, 10.0..=60_000.0),
            "user-requests" => (&mut self.max_user_requests, 1.0..=10_000.0),
            "gather-s" => (&mut self.gang_reservation_wait_s, 0.0..=86_400.0),
            _ => return None,
        })
    }

    /// Reads and validates a file. Errors state the file's path and the line.
    pub fn load(path: &str) -> Result<Tuning, ConfigError> {
        let text = super::read_file(path)?;
        Tuning::parse(&text).map_err(|source| ConfigError::Tuning { path: path.into(), source })
    }

    /// Parses and validates the text of a file, such as `<wallstile><idle-s>60</idle-s>...</wallstile>`.
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
                    return tuning.validate_batch_bounds().map_err(|kind| TuningError { line: 1, kind });
                }
                _ => {}
            }
        }
    }

    /// Checks that the minimum batch size doesn't exceed the maximum.
    fn validate_batch_bounds(self) -> Result<Tuning, TuningErrorKind> {
        if self.batch_min > self.batch_max { Err(TuningErrorKind::BatchBounds) } else { Ok(self) }
    }
}

/// State of the parser: what has been read of a file.
#[derive(Default)]
struct TuningParser {
    tuning: Tuning,
    /// Names of the open elements, outermost first.
    open: Vec<String>,
    /// Names of all elements read so far, to detect repeated ones.
    seen: Vec<String>,
    /// Text since the last start tag or the end of the last setting.
    content: String,
}

impl TuningParser {
    /// Handles a start tag. Returns an error if the element is unknown, misplaced or repeated, or has attributes.
    fn start(&mut self, element: &BytesStart) -> Result<(), TuningErrorKind> {
        let name = element.name().as_ref().to_string();
        let is_repeated = self.seen.contains(&name);
        match self.open.len() {
            0 if name == ROOT_ELEMENT && self.seen.is_empty() => {}
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

    /// Handles an empty-element tag, `<name/>`. Only the root element may be empty.
    fn empty(&mut self, element: &BytesStart) -> Result<(), TuningErrorKind> {
        let name = element.name().as_ref().to_string();
        if !self.open.is_empty() || name != ROOT_ELEMENT {
            return Err(TuningErrorKind::Empty(name));
        }
        self.seen.push(name);
        Ok(())
    }

    /// Handles an end tag, which sets the value if the element is a setting.
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
                let (min, max) = bounds.into_inner();
                return Err(TuningErrorKind::OutOfRange { name, min, max, value });
            }
            *setting = value;
        }
        self.content.clear();
        Ok(())
    }

    /// Handles the end of the document and returns the settings. Returns an error if the root element is missing or not
    /// closed.
    fn finish(&mut self) -> Result<Tuning, TuningErrorKind> {
        if self.seen.is_empty() || !self.open.is_empty() {
            return Err(TuningErrorKind::Truncated);
        }
        Ok(std::mem::take(&mut self.tuning))
    }
}
