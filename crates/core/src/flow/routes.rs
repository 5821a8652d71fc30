//! Routing of requests to queues by host and path prefix.

pub mod view;

use std::collections::HashMap;

use super::model::Queue;

/// Routing table of one configuration version: maps the host and path prefix of a request to the
/// queue to which the request submits its job.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Routes {
    /// Version of the configuration that defines the routes.
    pub version: u64,
    /// Path prefixes and their queues by host, longest prefix first.
    hosts: HashMap<String, Vec<(String, Queue)>>,
}

impl Routes {
    /// Builds the table from rows of host, path prefix and queue.
    pub fn new(version: u64, rows: impl IntoIterator<Item = (String, String, Queue)>) -> Self {
        let mut hosts: HashMap<String, Vec<(String, Queue)>> = HashMap::new();
        for (host, prefix, queue) in rows {
            hosts.entry(host).or_default().push((prefix, queue));
        }
        for prefixes in hosts.values_mut() {
            prefixes.sort_by_key(|(prefix, _)| std::cmp::Reverse(prefix.len()));
        }
        Routes { version, hosts }
    }

    /// Returns the queue with a name, if there is one.
    pub fn queue(&self, name: &str) -> Option<&Queue> {
        self.hosts.values().flatten().map(|(_, queue)| queue).find(|queue| queue.name == name)
    }

    /// Returns the queue for a request to `host` and `path`, and the rest of the path after the
    /// longest matching prefix; `None` if there is no route.
    pub fn find<'a>(&self, host: &str, path: &'a str) -> Option<(&Queue, &'a str)> {
        let prefixes = self.hosts.get(host)?;
        prefixes.iter().find_map(|(prefix, queue)| {
            path.strip_prefix(prefix.as_str()).map(|rest| (queue, rest))
        })
    }
}
