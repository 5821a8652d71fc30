//! The request side of an entry: announcements, choices, keys and memory.

use std::time::Duration;

use bytes::Bytes;
use peridotfold_core::keys::{DispatchTable, Holder};
use peridotfold_core::message::announce::{
    AgentState, Announce, AnnounceReply, CellOwner, ConfigUpdate, EntryAddress, ServiceLoad,
};
use peridotfold_core::routing::UpstreamTable;
use peridotfold_core::time::Time;

use super::{encoded, grown, mean, SIZES};

const CALLS: usize = 100_000;
/// Entries at the plan's size.
const ENTRIES: usize = 36;
const KEYS: usize = 200_000;

/// Prints the tables of an entry.
///
/// # Errors
///
/// Fails when a measurement cannot be taken.
pub fn run() -> eyre::Result<()> {
    println!("entry: upstreams, announcement us, choice us, bytes for each upstream");
    for upstreams in SIZES {
        let (mut table, bytes) = grown(upstreams, || table(upstreams));
        let now = Duration::from_secs(2);
        let announce = mean(CALLS, |number| {
            let sequence = 2 + (number / upstreams) as u64;
            table.announce(now, announce(number % upstreams, sequence));
        });
        let mut random = fastrand::Rng::with_seed(1);
        let choice = mean(CALLS, |_| {
            std::hint::black_box(table.choose(now, "listings", &[], &mut random));
        });
        println!(
            "{upstreams:>8} {:>10.2} {:>10.2} {bytes:>8}",
            announce.as_secs_f64() * 1e6,
            choice.as_secs_f64() * 1e6
        );
    }
    let (table, bytes) = grown(KEYS, keys);
    println!("memory for each remembered key: {bytes} bytes ({} keys)", table.len());
    println!("announcement: {} bytes", encoded(&announce(12_345, 100_000))?);
    println!("answer, nothing new: {} bytes", encoded(&reply(None))?);
    println!("answer with {ENTRIES} entries: {} bytes", encoded(&reply(Some(ENTRIES)))?);
    Ok(())
}

fn announce(index: usize, sequence: u64) -> Announce {
    Announce {
        agent: format!("vm-{index}"),
        incarnation: 0x1234_5678_9abc_def0,
        sequence,
        rack: format!("rack-{}", index / 3),
        data_centre: "dc-1".to_owned(),
        cell: "central-1".to_owned(),
        address: "10.123.123.123:7000".to_owned(),
        state: AgentState::Ready,
        services: vec![ServiceLoad {
            service: "listings".to_owned(),
            slots: 8,
            running: 3,
            queued: 0,
            latency: Duration::from_micros(8_123),
        }],
        config_version: 123_456,
        entries_digest: 0x1234_5678_9abc_def0,
    }
}

fn table(upstreams: usize) -> UpstreamTable {
    let mut table = UpstreamTable::default();
    for index in 0..upstreams {
        table.announce(Time::from_secs(1), announce(index, 1));
    }
    table
}

fn keys() -> DispatchTable {
    let mut table = DispatchTable::default();
    let holder = Holder { agent: "vm-12345".to_owned(), incarnation: 7 };
    for index in 0..KEYS {
        let key = Bytes::from(format!("guide\0bid-{index:032}"));
        table.begin(Time::ZERO, "listings", &key, (&holder, 1));
        table.end(Time::ZERO, "listings", &key, false);
    }
    table
}

fn reply(entries: Option<usize>) -> AnnounceReply {
    let entry = |index: usize| EntryAddress {
        entry: format!("entry-{index}"),
        data_centre: "dc-1".to_owned(),
        address: "10.123.123.123:7000".to_owned(),
    };
    AnnounceReply {
        entry: "entry-1".to_owned(),
        entries: entries.map(|count| (0..count).map(entry).collect()),
        config: ConfigUpdate::Current,
        owner: Some(CellOwner {
            entry: "entry-1".to_owned(),
            address: "10.123.123.123:7000".to_owned(),
            epoch: 12,
        }),
    }
}
