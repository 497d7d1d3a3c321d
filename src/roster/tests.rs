use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use super::*;

const SAMPLE: SampleSize = SampleSize { full_scan_limit: 20, drawn: 6 };

fn roster(count: u32) -> Roster<u8> {
    let mut roster = Roster::default();
    let role = |n| if n % 2 == 0 { Role::Reader } else { Role::Writer };
    roster.set_servers(SAMPLE, (0..count).map(|n| (ServerId(n), role(n), CellId(n / 10), n % 7 != 1)));
    roster
}

#[test]
fn small_fleet_is_scanned_in_full_and_large_fleet_is_sampled() {
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let mut small = roster(40);
    small.add_holder(7, ServerId(4));
    assert_eq!(small.sample_readers(&mut rng, [7].into_iter(), SAMPLE).len(), 20);
    let mut large = roster(4_000);
    large.add_holder(7, ServerId(4));
    for _ in 0..50 {
        let readers = large.sample_readers(&mut rng, [7].into_iter(), SAMPLE);
        assert!(readers.contains(&ServerId(4)) && readers.len() <= 7);
        assert!(readers.iter().all(|id| id.0 % 2 == 0 && id.0 % 7 != 1));
        let writers = large.sample_writers(&mut rng, Some(CellId(3)), SAMPLE);
        assert!([31, 33, 35, 37, 39].iter().all(|id| writers.contains(&ServerId(*id))));
        assert!(writers.len() <= 11 && writers.iter().all(|id| id.0 % 2 == 1));
    }
}

#[test]
fn holders_that_no_longer_keep_a_key_are_dropped() {
    let mut roster = roster(10);
    roster.add_holder(7, ServerId(4));
    roster.add_holder(7, ServerId(6));
    roster.add_holder(7, ServerId(6));
    roster.retain_holders(|_, id| id == ServerId(6));
    assert_eq!(roster.holders(&7), [ServerId(6)]);
    roster.retain_holders(|_, _| false);
    assert!(roster.holders(&7).is_empty());
}
