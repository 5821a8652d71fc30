//! Replicated state of the journal `config`: the current document and the recent patches.

use std::collections::VecDeque;

use bytes::Bytes;
use peridotfold_core::config::patch::{document_from_json, merge_json};
use peridotfold_core::config::{Document, Problem};
use peridotfold_core::id::ConfigVersion;
use peridotfold_core::message::announce::ConfigUpdate;
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

use crate::journal::Replay;

/// Maximum number of recent changes in the state.
const MAX_RECENT_CHANGES: usize = 128;
/// Maximum size of the recent changes, in bytes. With the largest document the state still fits into
/// one value of the store.
const MAX_RECENT_BYTES: usize = 64 * 1024;

/// An accepted patch and its author.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    pub author: String,
    /// Encoded patch of the configuration document.
    pub patch: Bytes,
}

/// The configuration after `version` records; each record creates one version.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct History {
    /// Number of the current version.
    pub version: ConfigVersion,
    /// Configuration document of `version`.
    document: JsonDocument,
    /// The most recent changes, oldest first; the last one created `version`.
    recent: VecDeque<Change>,
}

/// A document as JSON, so that other releases of the program can read it.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
struct JsonDocument(Value);

impl Default for JsonDocument {
    fn default() -> Self {
        JsonDocument(Value::Object(Map::new()))
    }
}

impl From<JsonDocument> for String {
    fn from(document: JsonDocument) -> String {
        document.0.to_string()
    }
}

impl TryFrom<String> for JsonDocument {
    type Error = serde_json::Error;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        serde_json::from_str(&text).map(JsonDocument)
    }
}

impl Replay for History {
    type Record = Change;

    fn apply(&mut self, change: &Change) {
        if let Err(problem) = merge_json(&mut self.document.0, &change.patch) {
            // Not expected: patches are validated before they are appended.
            tracing::error!(event = "patch_skipped", version = self.version + 1, %problem);
        }
        self.version += 1;
        self.recent.push_back(change.clone());
        let size = |recent: &VecDeque<Change>| -> usize {
            recent.iter().map(|change| change.patch.len() + change.author.len()).sum()
        };
        while self.recent.len() > 1
            && (self.recent.len() > MAX_RECENT_CHANGES || size(&self.recent) > MAX_RECENT_BYTES)
        {
            self.recent.pop_front();
        }
    }
}

impl History {
    /// Parses the current document.
    ///
    /// # Errors
    ///
    /// Fails when a newer release wrote a document that this release does not support.
    pub fn document(&self) -> Result<Document, Vec<Problem>> {
        document_from_json(self.document.0.clone())
    }

    /// Returns the recent changes with their versions, oldest first.
    pub fn recent(&self) -> impl Iterator<Item = (ConfigVersion, &Change)> {
        (self.version + 1 - self.recent.len() as u64..).zip(&self.recent)
    }

    /// Returns the update from `version` to the current version: as patches if all of them are still
    /// kept, else as the whole document.
    pub fn update_since(&self, version: ConfigVersion) -> ConfigUpdate {
        let patches: Vec<Bytes> = self
            .recent()
            .filter(|(number, _)| *number > version)
            .map(|(_, change)| change.patch.clone())
            .collect();
        match self.version.checked_sub(version) {
            None | Some(0) => ConfigUpdate::Current,
            Some(missing) if missing == patches.len() as u64 => {
                ConfigUpdate::Patches { first: version + 1, patches }
            }
            Some(_) => {
                let document = self.document.0.to_string().into();
                ConfigUpdate::Document { version: self.version, document }
            }
        }
    }
}
