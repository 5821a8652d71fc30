//! The version in effect, and the recent patches that lead to it.

use std::collections::VecDeque;
use std::fmt;
use std::sync::{Arc, OnceLock};

use bytes::Bytes;

use crate::config::{decode_document, encode_document, merge_patch, Document, Problem};
use crate::id::ConfigVersion;
use crate::message::announce::ConfigUpdate;

/// Most patches kept for processes that are behind.
const WINDOW_PATCHES: usize = 256;
/// Most bytes of patches kept, apart from the last patch; longer answers cost about as much as a
/// document.
const WINDOW_BYTES: usize = 64 * 1024;

/// An update that cannot be applied.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum UpdateError {
    /// The patches begin after the next version.
    Gap { version: ConfigVersion, first: ConfigVersion },
    /// The content does not have the shape of a document.
    Malformed(Vec<Problem>),
}

impl fmt::Display for UpdateError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            UpdateError::Gap { version, first } => {
                write!(
                    f,
                    "the patches begin at version {first}, but version {version} is in effect"
                )
            }
            UpdateError::Malformed(problems) => {
                let texts: Vec<String> = problems.iter().map(Problem::to_string).collect();
                write!(f, "malformed update: {}", texts.join("; "))
            }
        }
    }
}

impl std::error::Error for UpdateError {}

/// The configuration that a process has in effect. Its version never falls.
#[derive(Debug, Clone, Default)]
pub struct ConfigState {
    pub version: ConfigVersion,
    pub document: Arc<Document>,
    /// Patches that lead to `version`, the last one last.
    window: VecDeque<Bytes>,
    window_bytes: usize,
    /// JSON of `document`, made when it is first needed.
    encoded: Arc<OnceLock<Bytes>>,
}

impl ConfigState {
    /// Builds a state without recent patches.
    pub fn new(version: ConfigVersion, document: Arc<Document>) -> Self {
        ConfigState { version, document, ..ConfigState::default() }
    }

    /// Applies what is newer than the version in effect; tells whether anything was.
    ///
    /// # Errors
    ///
    /// Fails, and changes nothing, when versions are missing or the content is malformed.
    pub fn apply_update(&mut self, update: &ConfigUpdate) -> Result<bool, UpdateError> {
        match update {
            ConfigUpdate::Current => Ok(false),
            ConfigUpdate::Patches { first, patches } => self.apply_patches(*first, patches),
            ConfigUpdate::Document { version, .. } if *version <= self.version => Ok(false),
            ConfigUpdate::Document { version, document } => {
                let decoded = decode_document(document).map_err(UpdateError::Malformed)?;
                *self = ConfigState::new(*version, Arc::new(decoded));
                Ok(true)
            }
        }
    }

    fn apply_patches(
        &mut self,
        first: ConfigVersion,
        patches: &[Bytes],
    ) -> Result<bool, UpdateError> {
        let end = first.saturating_add(patches.len() as u64);
        let next = self.version + 1;
        if end <= next {
            return Ok(false);
        }
        if first > next {
            return Err(UpdateError::Gap { version: self.version, first });
        }
        let new = &patches[(next - first) as usize..];
        let mut document = Document::clone(&self.document);
        for patch in new {
            document = merge_patch(&document, patch).map_err(UpdateError::Malformed)?;
        }
        self.document = Arc::new(document);
        self.encoded = Arc::default();
        self.version = end - 1;
        new.iter().for_each(|patch| self.remember(patch.clone()));
        Ok(true)
    }

    fn remember(&mut self, patch: Bytes) {
        self.window_bytes += patch.len();
        self.window.push_back(patch);
        let is_over =
            |state: &Self| state.window.len() > WINDOW_PATCHES || state.window_bytes > WINDOW_BYTES;
        while self.window.len() > 1 && is_over(self) {
            self.window_bytes -= self.window.pop_front().map_or(0, |patch| patch.len());
        }
    }

    /// Returns what a process at `version` lacks: the patches if they are known and shorter than
    /// the document, else the document.
    pub fn update_since(&self, version: ConfigVersion) -> ConfigUpdate {
        if version >= self.version {
            return ConfigUpdate::Current;
        }
        let missing = usize::try_from(self.version - version).unwrap_or(usize::MAX);
        if let Some(skipped) = self.window.len().checked_sub(missing) {
            let patches: Vec<Bytes> = self.window.iter().skip(skipped).cloned().collect();
            let size: usize = patches.iter().map(Bytes::len).sum();
            if size <= self.encoded().len() {
                return ConfigUpdate::Patches { first: version + 1, patches };
            }
        }
        ConfigUpdate::Document { version: self.version, document: self.encoded() }
    }

    /// Returns the document as JSON.
    pub fn encoded(&self) -> Bytes {
        self.encoded.get_or_init(|| encode_document(&self.document)).clone()
    }
}
