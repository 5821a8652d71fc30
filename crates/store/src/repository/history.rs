//! The replayed state of the journal `config`.

use std::collections::VecDeque;

use bytes::Bytes;
use peridotfold_core::config::patch::{document_from_json, merge_json};
use peridotfold_core::config::{Document, Problem};
use peridotfold_core::id::ConfigVersion;
use peridotfold_core::message::announce::ConfigUpdate;
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

use crate::journal::Replay;

const MAX_RECENT_CHANGES: usize = 128;
/// Together with the largest document the state stays below the store's value limit.
const MAX_RECENT_BYTES: usize = 64 * 1024;

/// An accepted patch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    pub author: String,
    pub patch: Bytes,
}

/// Each record is one version.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct History {
    pub version: ConfigVersion,
    document: JsonDocument,
    /// Last changes; the last one led to `version`.
    recent: VecDeque<Change>,
}

/// A document in its JSON form, which also other releases of the program can read.
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
            // Patches are checked before they are appended.
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
    /// Parses the document.
    ///
    /// # Errors
    ///
    /// Fails when a newer release accepted something that this one does not know.
    pub fn document(&self) -> Result<Document, Vec<Problem>> {
        document_from_json(self.document.0.clone())
    }

    /// Returns the last changes with their versions, oldest first.
    pub fn recent(&self) -> impl Iterator<Item = (ConfigVersion, &Change)> {
        (self.version + 1 - self.recent.len() as u64..).zip(&self.recent)
    }

    /// Returns what a state at `version` lacks, as patches if they are known.
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
