//! Stands for `core::config::ConfigState` until it is merged.

use std::sync::Arc;

use peridotfold_core::config::Document;
use peridotfold_core::id::ConfigVersion;
use peridotfold_core::message::announce::ConfigUpdate;

#[derive(Debug, Default)]
pub struct ConfigState {
    pub version: ConfigVersion,
    pub document: Arc<Document>,
}

impl ConfigState {
    pub fn apply_update(&mut self, update: &ConfigUpdate) -> Result<bool, String> {
        match update {
            ConfigUpdate::Document { version, document } if *version > self.version => {
                let document = serde_json::from_slice(document).map_err(|e| e.to_string())?;
                self.document = Arc::new(document);
                self.version = *version;
                Ok(true)
            }
            _ => Ok(false),
        }
    }
}
