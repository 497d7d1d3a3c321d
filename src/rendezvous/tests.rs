use super::*;

fn order(key: u64, servers: impl IntoIterator<Item = u32>) -> Order {
    Order::among(key, servers.into_iter().map(|n| (ServerId(n), 1.0)))
}

/// The servers among the first so many places of a key, of those that are listed.
fn first(key: u64, count: u32, without: Option<u32>, places: f64) -> Vec<u32> {
    let listed = || (0..count).filter(|n| Some(*n) != without);
    let order = order(key, listed());
    listed().filter(|n| order.chance(ServerId(*n), 1.0, places) >= 1.0).collect()
}

#[test]
fn each_key_has_as_many_places_as_asked_for() {
    for key in 0..500 {
        assert_eq!(first(key, 28, None, 1.0).len(), 1);
        assert_eq!(first(key, 28, None, 3.0).len(), 3);
        assert_eq!(first(key, 2, None, 3.0).len(), 2);
    }
}

#[test]
fn a_server_that_goes_moves_only_its_own_places() {
    let mut moved = 0;
    for key in 0..1_000 {
        let (before, after) = (first(key, 10, None, 1.0), first(key, 10, Some(4), 1.0));
        assert!(before == [4] || before == after);
        moved += usize::from(before == [4]);
    }
    assert!((60..140).contains(&moved), "{moved} of 1000 had the tenth server as their place");
}

#[test]
fn the_chance_falls_as_the_place() {
    let order = order(7, 0..20);
    let mut chances: Vec<f64> = (0..20).map(|n| order.chance(ServerId(n), 1.0, 1.0)).collect();
    chances.sort_unstable_by(|a, b| b.total_cmp(a));
    let by_place: Vec<f64> = (1..=20).map(|n| 1.0 / f64::from(n)).collect();
    assert_eq!(chances, by_place);
}

#[test]
fn a_server_that_does_not_count_takes_nobodys_place() {
    for key in 0..200 {
        let all = order(key, 0..20);
        let place = (0..20).find(|n| all.chance(ServerId(*n), 1.0, 1.0) >= 1.0).expect("a place");
        let without = order(key, (0..20).filter(|n| *n != place));
        let next = (0..20).filter(|n| without.chance(ServerId(*n), 1.0, 1.0) >= 1.0);
        assert_eq!(next.filter(|n| *n != place).count(), 1, "the next has it meanwhile");
    }
}

#[test]
fn heavier_servers_are_the_place_of_more_keys() {
    let weights = |n: u32| if n == 0 { 3.0 } else { 1.0 };
    let heavy = (0..2_000).filter(|key| {
        let order = Order::among(*key, (0..4).map(|n| (ServerId(n), weights(n))));
        order.chance(ServerId(0), 3.0, 1.0) >= 1.0
    });
    let heavy = heavy.count();
    assert!((900..1_100).contains(&heavy), "{heavy} of 2000 at a server of half the weight");
}

#[test]
fn a_guessed_place_is_about_the_counted_one() {
    let (mut guessed, mut counted) = (0.0, 0.0);
    for key in 0..300 {
        let (guess, count) = (Order::guessed(key, 200.0), order(key, 0..200));
        guessed += (0..200).filter(|n| guess.chance(ServerId(*n), 1.0, 3.0) >= 1.0).count() as f64;
        counted += (0..200).filter(|n| count.chance(ServerId(*n), 1.0, 3.0) >= 1.0).count() as f64;
    }
    assert!((guessed - counted).abs() < 0.15 * counted, "{guessed} guessed, {counted} counted");
}
