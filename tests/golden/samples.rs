//! Reading the sample files and comparing values with their samples.

use prost::Message;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::fmt::Debug;

/// A sample file: the exact text of each sample by its name.
pub(crate) struct Samples(BTreeMap<String, String>);

impl Samples {
    /// Splits a JSON object that has each of its members on a line of its own.
    fn parse(text: &str) -> Samples {
        let whole: BTreeMap<String, Value> = serde_json::from_str(text).expect("the file is a JSON object");
        let member = |line: &str| {
            let (name, sample) = line.trim().trim_end_matches(',').split_once(": ")?;
            Some((name.trim_matches('"').to_string(), sample.to_string()))
        };
        let samples: BTreeMap<String, String> = text.lines().filter_map(member).collect();
        assert!(samples.keys().eq(whole.keys()), "one sample a line, and no name twice");
        Samples(samples)
    }

    pub(crate) fn stored() -> Samples {
        Samples::parse(include_str!("stored.json"))
    }

    pub(crate) fn wire() -> Samples {
        Samples::parse(include_str!("wire.json"))
    }

    pub(crate) fn peer() -> Samples {
        Samples::parse(include_str!("peer.json"))
    }

    pub(crate) fn text(&self, name: &str) -> &str {
        self.0.get(name).unwrap_or_else(|| panic!("there is no sample {name}"))
    }

    /// Reads the sample as it is read off the wire.
    pub(crate) fn read<T: DeserializeOwned>(&self, name: &str) -> T {
        serde_json::from_str(self.text(name)).unwrap_or_else(|e| panic!("{name}: {e}"))
    }

    /// The text that this program has written is the sample.
    pub(crate) fn assert_text(&self, name: &str, written: &str) {
        assert_eq!(written, self.text(name), "sample {name}");
    }

    /// The value is written as the sample, in the order of its fields; the sample is read as the value, and
    /// written again as it was.
    pub(crate) fn assert_both_ways<T: Serialize + DeserializeOwned + Debug>(&self, name: &str, value: &T) {
        let write = |value: &T| serde_json::to_string(value).expect("it can be written");
        self.assert_text(name, &write(value));
        let read: T = self.read(name);
        assert_eq!(format!("{read:?}"), format!("{value:?}"), "sample {name}, read");
        self.assert_text(name, &write(&read));
    }

    /// The same for what is kept in the key-value store, which passes through a [`Value`] both ways.
    pub(crate) fn assert_kept<T: Serialize + DeserializeOwned + Debug>(&self, name: &str, value: &T) {
        self.assert_text(name, &json!(value).to_string());
        let kept: Value = self.read(name);
        let read: T = serde_json::from_value(kept).unwrap_or_else(|e| panic!("{name}: {e}"));
        assert_eq!(format!("{read:?}"), format!("{value:?}"), "sample {name}, read");
        self.assert_text(name, &json!(read).to_string());
    }

    /// The same for the bytes of a message between controllers.
    pub(crate) fn assert_message<M: Message + Default + PartialEq + Debug>(&self, name: &str, message: &M) {
        let sample: String = self.read(name);
        assert_eq!(hexadecimal(&message.encode_to_vec()), sample, "sample {name}");
        let read = M::decode(bytes_of(&sample).as_slice()).unwrap_or_else(|e| panic!("{name}: {e}"));
        assert_eq!(read, *message, "sample {name}, read");
        assert_eq!(hexadecimal(&read.encode_to_vec()), sample, "sample {name}, written again");
    }
}

fn hexadecimal(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn bytes_of(text: &str) -> Vec<u8> {
    let byte = |at: usize| u8::from_str_radix(&text[at..at + 2], 16).expect("two hexadecimal digits");
    (0..text.len()).step_by(2).map(byte).collect()
}
