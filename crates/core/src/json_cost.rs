//! Estimates from the text of a JSON value what the value takes in memory.

/// What a value takes in a list, in bytes: twice its size, as lists grow by doubling.
const ITEM_BYTES: u64 = 64;
/// What an entry of an object takes, in bytes: its key and value in a node that may be half full.
const ENTRY_BYTES: u64 = 160;
/// What the first node of an object takes, in bytes.
const OBJECT_BYTES: u64 = 680;
/// What a string takes besides its bytes, in bytes: the least that is allocated for it.
const STRING_BYTES: u64 = 32;
/// Depth of nested lists and objects at which the parser (`serde_json`) stops.
const MAX_DEPTH: usize = 128;

/// Returns what the value in `text` takes in memory at most, in bytes. If the text is not valid,
/// this holds for the part that a parser reads before it stops.
pub fn value_bytes(text: &[u8]) -> u64 {
    let mut bytes = ITEM_BYTES;
    // Whether each open list or object is an object.
    let mut open = Vec::new();
    let mut rest = text.iter();
    while let Some(byte) = rest.next()
        && open.len() < MAX_DEPTH
    {
        bytes += match byte {
            b'"' => STRING_BYTES + string_bytes(&mut rest),
            b'{' => {
                open.push(true);
                OBJECT_BYTES
            }
            b'[' => {
                open.push(false);
                ITEM_BYTES
            }
            b'}' | b']' => {
                open.pop();
                0
            }
            b',' if open.last() == Some(&true) => ENTRY_BYTES,
            b',' => ITEM_BYTES,
            _ => 0,
        };
    }
    bytes
}

/// Returns the length of the string that `rest` begins in, and advances `rest` behind it.
fn string_bytes(rest: &mut std::slice::Iter<'_, u8>) -> u64 {
    let mut length = 0;
    while let Some(byte) = rest.next() {
        match byte {
            b'"' => return length,
            b'\\' => {
                rest.next();
                length += 2;
            }
            _ => length += 1,
        }
    }
    length
}
