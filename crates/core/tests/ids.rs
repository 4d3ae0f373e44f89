//! Validation of names, and the order of offsets.

use quickcheck::quickcheck;
use savoryvane_core::ids::{MAX_NAME_BYTES, Offset, is_valid_name};

quickcheck! {
    fn the_next_offset_is_never_lower(offset: u64) -> bool {
        Offset(offset).next() >= Offset(offset)
    }
}

#[test]
fn the_last_offset_does_not_wrap_around() {
    assert_eq!(Offset(u64::MAX).next(), Offset(u64::MAX));
    assert_eq!(Offset(u64::MAX - 1).next(), Offset(u64::MAX));
}

#[test]
fn names_are_validated() {
    for name in ["a", "hal-utrecht", "chat.7b", &"x".repeat(MAX_NAME_BYTES)] {
        assert!(is_valid_name(name), "{name}");
    }
    let long = "x".repeat(MAX_NAME_BYTES + 1);
    for name in ["", "-a", "a-", ".a", "A", "a b", "a/b", "\u{e9}", &long] {
        assert!(!is_valid_name(name), "{name}");
    }
}
