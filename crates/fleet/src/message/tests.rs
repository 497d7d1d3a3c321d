use super::*;
use crate::ids::Instance;

fn leave() -> Envelope {
    let from = ProcessId { name: "n1".into(), instance: Instance(7) };
    Envelope { from, message: Message::Leave }
}

#[test]
fn what_is_sealed_opens_in_its_own_fleet_alone() {
    let bytes = leave().seal("reli").expect("it is short");
    assert_eq!(Envelope::open("reli", &bytes), Ok(leave()));
    assert_eq!(Envelope::open("other", &bytes), Err(Refused::Foreign));
}

#[test]
fn whatever_is_spoilt_is_refused() {
    let bytes = leave().seal("reli").expect("it is short");
    for at in 0..bytes.len() {
        let mut spoilt = bytes.clone();
        spoilt[at] ^= 0x10;
        assert!(Envelope::open("reli", &spoilt).is_err(), "byte {at}");
        assert!(Envelope::open("reli", &bytes[..at]).is_err(), "{at} bytes");
    }
    assert_eq!(Envelope::open("reli", &vec![0; MOST + 1]), Err(Refused::Length(MOST + 1)));
}
