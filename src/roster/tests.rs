use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use super::*;

const SAMPLE: SampleSize = SampleSize { all: 20, some: 6 };

fn roster(count: u32) -> Roster<u8> {
    let mut roster = Roster::default();
    let role = |n| if n % 2 == 0 { Role::Reader } else { Role::Writer };
    roster.list(SAMPLE, (0..count).map(|n| (ServerId(n), role(n), CellId(n / 10), n % 7 != 1)));
    roster
}

#[test]
fn a_small_fleet_is_looked_at_whole_and_a_large_one_in_part() {
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let mut small = roster(40);
    small.keep(7, ServerId(4));
    assert_eq!(small.readers(&mut rng, [7].into_iter(), SAMPLE).len(), 20);
    let mut large = roster(4_000);
    large.keep(7, ServerId(4));
    for _ in 0..50 {
        let readers = large.readers(&mut rng, [7].into_iter(), SAMPLE);
        assert!(readers.contains(&ServerId(4)) && readers.len() <= 7);
        assert!(readers.iter().all(|id| id.0 % 2 == 0 && id.0 % 7 != 1));
        let writers = large.writers(&mut rng, Some(CellId(3)), SAMPLE);
        assert!([31, 33, 35, 37, 39].iter().all(|id| writers.contains(&ServerId(*id))));
        assert!(writers.len() <= 11 && writers.iter().all(|id| id.0 % 2 == 1));
    }
}

#[test]
fn what_is_not_kept_any_more_is_forgotten() {
    let mut roster = roster(10);
    roster.keep(7, ServerId(4));
    roster.keep(7, ServerId(6));
    roster.keep(7, ServerId(6));
    roster.forget(|_, id| id == ServerId(6));
    assert_eq!(roster.keepers(&7), [ServerId(6)]);
    roster.forget(|_, _| false);
    assert!(roster.keepers(&7).is_empty());
}
