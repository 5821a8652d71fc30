//! Home entries of an agent: those that it announces itself to.

use crate::hash;
use crate::id::EntryId;
use crate::message::announce::EntryAddress;

/// Entries that an agent announces itself to. With eight, announcements alone took more than the
/// 4 KB/s that a node may spend on control.
pub const HOME_ENTRIES: usize = 4;
/// Home entries that pass an agent's announcements on to the other entries. With one, its death
/// would hide the agent from them for longer than the expiry.
pub const RELAYING_ENTRIES: usize = 2;

/// Returns the home entries of an agent, the most preferred first. Each process that knows the
/// same entries computes the same ones.
pub fn homes<'a>(
    agent: &str,
    data_centre: &str,
    entries: &'a [EntryAddress],
) -> Vec<&'a EntryAddress> {
    let weight = |entry: &EntryAddress| {
        let is_local = entry.data_centre == data_centre;
        (is_local, hash::rendezvous(agent.as_bytes(), entry.entry.as_bytes()))
    };
    let mut ranked: Vec<_> = entries.iter().collect();
    ranked.sort_by_key(|entry| std::cmp::Reverse((weight(entry), &entry.entry)));
    ranked.truncate(HOME_ENTRIES);
    ranked
}

/// Tells whether `entry` passes on the announcements of an agent with these homes.
pub fn is_relaying(entry: &EntryId, homes: &[&EntryAddress]) -> bool {
    homes.iter().take(RELAYING_ENTRIES).any(|home| home.entry == *entry)
}

/// Returns a digest of a list of entries that does not depend on its order. An empty list has the
/// digest 0.
pub fn digest(entries: &[EntryAddress]) -> u64 {
    entries.iter().fold(0, |digest, entry| {
        let text = format!("{}\0{}\0{}", entry.entry, entry.data_centre, entry.address);
        digest ^ hash::stable(text.as_bytes())
    })
}
