//! Payloads as a log may return them.

/// Returns a payload with one byte replaced and its end cut off, at places drawn freely.
pub fn damaged(mut payload: Vec<u8>, cut: usize, at: usize, byte: u8) -> Vec<u8> {
    let at = at % payload.len();
    payload[at] = byte;
    payload.truncate(cut % (payload.len() + 1));
    payload
}
