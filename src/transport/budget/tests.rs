//! Tests of what the system tells of this process.

use super::*;

/// Guards against a budget that takes the program's code for nothing.
#[test]
fn code_of_this_process_is_found() {
    assert_eq!(mapping_bytes("55d0a000-55d0c800 r-xp 00002000 fe:00 71  /bin/birchspur"), Some(0x2800));
    assert_eq!(mapping_bytes("no mapping"), None);
    assert!(code_bytes() > 1_000_000, "{} bytes", code_bytes());
}
