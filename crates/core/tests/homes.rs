//! Guards against processes that disagree about the home entries of an agent, and against a digest
//! that makes an entry send its list of entries to an agent that already knows it.

use peridotfold_core::homes::{digest, homes, is_relaying, HOME_ENTRIES, RELAYING_ENTRIES};
use peridotfold_core::message::announce::EntryAddress;

fn entries(count: usize) -> Vec<EntryAddress> {
    let entry = |index: usize| EntryAddress {
        entry: format!("entry-{index}"),
        data_centre: format!("dc-{}", index % 3),
        address: format!("10.0.0.{index}:7000"),
    };
    (0..count).map(entry).collect()
}

#[test]
fn homes_and_digest_do_not_depend_on_the_order() {
    let mut rng = fastrand::Rng::with_seed(1);
    for agent in 0..1_000 {
        let agent = format!("vm-{agent}");
        let ordered = entries(9);
        let mut shuffled = ordered.clone();
        rng.shuffle(&mut shuffled);
        assert_eq!(homes(&agent, "dc-1", &ordered), homes(&agent, "dc-1", &shuffled));
        assert_eq!(digest(&ordered), digest(&shuffled));
    }
}

#[test]
fn own_data_centre_comes_first_and_each_agent_is_relayed() {
    let entries = entries(9);
    for agent in 0..1_000 {
        let homes = homes(&format!("vm-{agent}"), "dc-1", &entries);
        assert_eq!(homes.len(), HOME_ENTRIES);
        assert!(homes[..3].iter().all(|home| home.data_centre == "dc-1"));
        let relaying = entries.iter().filter(|entry| is_relaying(&entry.entry, &homes));
        assert_eq!(relaying.count(), RELAYING_ENTRIES);
    }
}

#[test]
fn digest_tells_lists_apart() {
    let all = entries(9);
    for left_out in 0..9 {
        let mut fewer = all.clone();
        fewer.remove(left_out);
        assert_ne!(digest(&all), digest(&fewer));
    }
    let mut moved = all.clone();
    moved[3].address = "10.0.9.9:7000".into();
    assert_ne!(digest(&all), digest(&moved));
    assert_eq!(digest(&[]), 0);
}
