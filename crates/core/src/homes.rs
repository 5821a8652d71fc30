//! Home entries of an agent: the entries that it announces itself to.

use crate::hash;
use crate::id::EntryId;
use crate::message::announce::EntryAddress;

/// Number of entries that an agent announces itself to. With eight, announcements alone took more
/// than the 4 KB/s that a node may spend on control.
pub const HOME_ENTRIES: usize = 4;
/// Number of home entries that relay an agent's announcements to the other entries. With one, its
/// death would hide the agent from them for longer than an announcement is valid.
pub const RELAYING_ENTRIES: usize = 2;

/// Returns the home entries of an agent, the most preferred first: entries of its own data centre,
/// then others, each ranked by rendezvous hashing. Processes that know the same entries compute the
/// same home entries.
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

/// Tells whether `entry` relays the announcements of an agent with these home entries.
pub fn is_relaying(entry: &EntryId, homes: &[&EntryAddress]) -> bool {
    homes.iter().take(RELAYING_ENTRIES).any(|home| home.entry == *entry)
}

/// Returns a digest of a list of entries that does not depend on their order. The digest of an
/// empty list is 0.
pub fn digest(entries: &[EntryAddress]) -> u64 {
    entries.iter().fold(0, |digest, entry| {
        let text = format!("{}\0{}\0{}", entry.entry, entry.data_centre, entry.address);
        digest ^ hash::hash64(text.as_bytes())
    })
}
