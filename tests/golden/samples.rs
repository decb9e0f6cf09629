//! Reads the sample files and compares values with their samples.

use prost::Message;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::fmt::Debug;

/// The samples in a file: the exact text of each sample, by its name.
pub(crate) struct Samples(BTreeMap<String, String>);

impl Samples {
    /// Parses a JSON object with one member per line, keeping the text of each value as it is written.
    fn parse(text: &str) -> Samples {
        let whole: BTreeMap<String, Value> = serde_json::from_str(text).expect("the file is a JSON object");
        let member = |line: &str| {
            let (name, sample) = line.trim().trim_end_matches(',').split_once(": ")?;
            Some((name.trim_matches('"').to_string(), sample.to_string()))
        };
        let samples: BTreeMap<String, String> = text.lines().filter_map(member).collect();
        assert!(
            samples.keys().eq(whole.keys()),
            "each sample must be on a line of its own, and no name may occur twice"
        );
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

    /// Decodes the sample of the given name from its JSON text.
    pub(crate) fn read<T: DeserializeOwned>(&self, name: &str) -> T {
        serde_json::from_str(self.text(name)).unwrap_or_else(|e| panic!("{name}: {e}"))
    }

    /// Asserts that a text written by this program equals the sample of the given name.
    pub(crate) fn assert_text(&self, name: &str, written: &str) {
        assert_eq!(written, self.text(name), "sample {name}");
    }

    /// Asserts that the value is encoded as the sample of the given name, with the fields in the same order, and that
    /// the sample is decoded as the value and encoded again without a difference.
    pub(crate) fn assert_round_trip<T: Serialize + DeserializeOwned + Debug>(&self, name: &str, value: &T) {
        let encode = |value: &T| serde_json::to_string(value).expect("the value can be encoded");
        self.assert_text(name, &encode(value));
        let decoded: T = self.read(name);
        assert_eq!(format!("{decoded:?}"), format!("{value:?}"), "sample {name}, decoded");
        self.assert_text(name, &encode(&decoded));
    }

    /// Like [`Samples::assert_round_trip`], for records of the key-value store, which are converted to and from a
    /// [`Value`].
    pub(crate) fn assert_stored<T: Serialize + DeserializeOwned + Debug>(&self, name: &str, value: &T) {
        self.assert_text(name, &json!(value).to_string());
        let stored: Value = self.read(name);
        let decoded: T = serde_json::from_value(stored).unwrap_or_else(|e| panic!("{name}: {e}"));
        assert_eq!(format!("{decoded:?}"), format!("{value:?}"), "sample {name}, decoded");
        self.assert_text(name, &json!(decoded).to_string());
    }

    /// Like [`Samples::assert_round_trip`], for the encoded bytes of a message between controllers.
    pub(crate) fn assert_message<M: Message + Default + PartialEq + Debug>(&self, name: &str, message: &M) {
        let sample: String = self.read(name);
        assert_eq!(to_hex(&message.encode_to_vec()), sample, "sample {name}");
        let decoded = M::decode(from_hex(&sample).as_slice()).unwrap_or_else(|e| panic!("{name}: {e}"));
        assert_eq!(decoded, *message, "sample {name}, decoded");
        assert_eq!(to_hex(&decoded.encode_to_vec()), sample, "sample {name}, encoded again");
    }
}

fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn from_hex(text: &str) -> Vec<u8> {
    let byte = |start: usize| u8::from_str_radix(&text[start..start + 2], 16).expect("pairs of hexadecimal digits");
    (0..text.len()).step_by(2).map(byte).collect()
}
