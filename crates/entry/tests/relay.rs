//! Relay of announcements when there are more entries than an agent has home entries.

#[path = "support/common.rs"]
mod support;

use std::time::Duration;

use http::Method;
use peridotfold_core::homes::{homes, HOME_ENTRIES};
use peridotfold_core::message::announce::{AgentState, Announce, AnnounceReply, EntryAddress};
use peridotfold_standins::store::{Options, Store};
use peridotfold_wire::peer::Peers;
use peridotfold_wire::runtime;

use support::{agent, run, until, Entry};

const ENTRIES: usize = HOME_ENTRIES + 2;
const AGENT: &str = "vm-1";
/// Time within which every entry has to know that an upstream is leaving.
const LEAVING_LIMIT: Duration = Duration::from_secs(4);

/// Announces to the home entries only, as an agent does.
async fn announce(peers: &Peers, message: &Announce, entries: &[EntryAddress]) {
    for home in homes(AGENT, "dc-1", entries) {
        let reply: Result<AnnounceReply, _> =
            peers.call(&home.address, "announce", message, Duration::from_secs(1)).await;
        reply.expect("a home entry answers");
    }
}

/// Returns the state of the agent as shown by each entry, empty if unknown there.
async fn agent_states(entries: &[Entry]) -> Vec<String> {
    let mut agent_states = Vec::new();
    for entry in entries {
        let response = entry.operator(Method::GET, "/v1/status", "").await;
        let status: serde_json::Value = serde_json::from_slice(response.body()).expect("JSON");
        let list = status["upstreams"].as_array().expect("a list").clone();
        let known = list.iter().find(|upstream| upstream["agent"] == AGENT);
        agent_states
            .push(known.map_or(String::new(), |u| u["state"].as_str().unwrap_or("").to_owned()));
    }
    agent_states
}

/// Guards against entries that do not learn of an agent because they are not its home entries, and
/// against requests that they still dispatch to the agent after it has announced that it leaves.
#[test]
fn every_entry_hears_of_an_agent_and_of_its_leaving() {
    run(async {
        let store = Store::start(Options::default()).await.unwrap();
        let mut entries = vec![Entry::configured("entry-0", &store).await];
        for index in 1..ENTRIES {
            entries.push(Entry::start(&format!("entry-{index}"), store.address(), vec![]).await);
        }
        let addresses: Vec<EntryAddress> = entries
            .iter()
            .enumerate()
            .map(|(index, entry)| EntryAddress {
                entry: format!("entry-{index}"),
                data_centre: "dc-1".into(),
                address: entry.internal.to_string(),
            })
            .collect();
        for entry in &entries {
            until("all entries are listed", || async {
                entry.announce_to().await.entries.is_some_and(|list| list.len() == ENTRIES)
            })
            .await;
        }
        let peers = Peers::default();
        let mut message = agent::announce(AGENT, 7, entries[0].internal);
        until("each entry knows the agent", || {
            message.sequence += 1;
            let (message, peers, addresses) = (message.clone(), &peers, &addresses);
            let entries = &entries;
            async move {
                announce(peers, &message, addresses).await;
                agent_states(entries).await.iter().all(|state| state == "ready")
            }
        })
        .await;
        message.sequence += 1;
        message.state = AgentState::Leaving;
        let left = runtime::now();
        announce(&peers, &message, &addresses).await;
        until("each entry knows that the agent leaves", || async {
            agent_states(&entries).await.iter().all(|state| state != "ready")
        })
        .await;
        let elapsed = runtime::now() - left;
        assert!(elapsed < LEAVING_LIMIT, "known everywhere only after {elapsed:?}");
        for entry in entries {
            entry.stop().await;
        }
    });
}
