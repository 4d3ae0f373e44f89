//! Helpers that damage payloads as a faulty log might.

/// Replaces the byte at `at` (modulo the length) and truncates the payload.
pub fn damaged(mut payload: Vec<u8>, cut: usize, at: usize, byte: u8) -> Vec<u8> {
    let at = at % payload.len();
    payload[at] = byte;
    payload.truncate(cut % (payload.len() + 1));
    payload
}
