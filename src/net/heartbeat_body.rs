//! Reads the bodies of workers' heartbeats, up to a maximum size, and names the machine whose heartbeat exceeds it.

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use salvo::http::{ReqBody, header::CONTENT_LENGTH};
use salvo::prelude::Request;
use serde::Deserialize;

/// Maximum size in bytes of a worker's heartbeat, which lists all tasks of the worker. Above the protocol's 64 KiB, as a
/// leader of an earlier version may have given a machine more tasks than fit in that: the machine must keep its lease
/// until its tasks have ended.
pub(super) const MAX_HEARTBEAT_BYTES: usize = 1 << 20;

/// The name of the field with the machine's name.
const MACHINE_FIELD: &[u8] = b"\"plinth\"";

/// Why the body of a heartbeat can't be used.
#[derive(Debug, PartialEq, thiserror::Error)]
pub(super) enum HeartbeatBodyError {
    /// The body exceeds [`MAX_HEARTBEAT_BYTES`].
    #[error("heartbeat of machine {machine} is too large: bytes={bytes} limit={MAX_HEARTBEAT_BYTES}")]
    TooLarge {
        /// Name of the machine, or `unknown` if the beginning of the body doesn't contain it.
        machine: String,
        /// Size of the body as the request states it, or else the part that was read.
        bytes: usize,
    },
    /// The connection failed before the end of the body.
    #[error("the heartbeat can't be read")]
    Unreadable,
}

/// Reads the body of a heartbeat.
///
/// # Errors
/// Returns why the body can't be used.
pub(super) async fn read(request: &mut Request) -> Result<Bytes, HeartbeatBodyError> {
    let stated = request.headers().get(CONTENT_LENGTH).and_then(|value| value.to_str().ok()?.parse::<usize>().ok());
    let mut body: ReqBody = request.take_body();
    let mut read = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| HeartbeatBodyError::Unreadable)?;
        read.extend_from_slice(&frame.into_data().unwrap_or_default());
        if read.len() > MAX_HEARTBEAT_BYTES {
            let machine = machine_name(&read).unwrap_or_else(|| "unknown".into());
            return Err(HeartbeatBodyError::TooLarge { machine, bytes: stated.unwrap_or(read.len()) });
        }
    }
    Ok(read.freeze())
}

/// The machine's name in the beginning of a heartbeat's body, if that contains it.
fn machine_name(beginning: &[u8]) -> Option<String> {
    let field = beginning.windows(MACHINE_FIELD.len()).position(|window| window == MACHINE_FIELD)?;
    let after_field = beginning[field + MACHINE_FIELD.len()..].trim_ascii_start();
    let value = after_field.strip_prefix(b":")?;
    String::deserialize(&mut serde_json::Deserializer::from_slice(value)).ok()
}

#[cfg(test)]
mod tests;
