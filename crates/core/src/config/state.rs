//! The configuration version in effect, and the recent patches that led to it.

use std::collections::VecDeque;
use std::fmt;
use std::sync::{Arc, OnceLock};

use bytes::Bytes;

use crate::config::{decode_document, encode_document, merge_patch, Document, Problem};
use crate::id::ConfigVersion;
use crate::message::announce::ConfigUpdate;

/// Maximum number of patches kept for processes that have an older version.
const MAX_RECENT_PATCHES: usize = 256;
/// Maximum total size of the patches kept, in bytes; the last patch is always kept. Sending more
/// costs about as much as sending the document.
const MAX_RECENT_BYTES: usize = 64 * 1024;

/// Reason why an update cannot be applied.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum UpdateError {
    /// Versions between the one in effect and the first patch are missing.
    Gap { version: ConfigVersion, first: ConfigVersion },
    /// The content does not match the schema of the document.
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

/// The configuration in effect in one process. Its version never decreases.
#[derive(Debug, Clone, Default)]
pub struct ConfigState {
    pub version: ConfigVersion,
    pub document: Arc<Document>,
    /// Latest patches up to `version`, oldest first.
    recent_patches: VecDeque<Bytes>,
    /// Total size of `recent_patches`, in bytes.
    recent_bytes: usize,
    /// `document` as JSON, encoded on first use.
    encoded: Arc<OnceLock<Bytes>>,
}

impl ConfigState {
    /// Creates a state without recent patches.
    pub fn new(version: ConfigVersion, document: Arc<Document>) -> Self {
        ConfigState { version, document, ..ConfigState::default() }
    }

    /// Applies the part of an update that is newer than the version in effect. Returns whether the
    /// version changed.
    ///
    /// # Errors
    ///
    /// Fails when versions are missing or the content is malformed; the state stays unchanged.
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
        new.iter().for_each(|patch| self.push_recent(patch.clone()));
        Ok(true)
    }

    fn push_recent(&mut self, patch: Bytes) {
        self.recent_bytes += patch.len();
        self.recent_patches.push_back(patch);
        let exceeds_limits = |state: &Self| {
            state.recent_patches.len() > MAX_RECENT_PATCHES || state.recent_bytes > MAX_RECENT_BYTES
        };
        while self.recent_patches.len() > 1 && exceeds_limits(self) {
            self.recent_bytes -= self.recent_patches.pop_front().map_or(0, |patch| patch.len());
        }
    }

    /// Returns the update for a process at `version`: the patches since then if they are kept and
    /// not larger than the document, otherwise the document.
    pub fn update_since(&self, version: ConfigVersion) -> ConfigUpdate {
        if version >= self.version {
            return ConfigUpdate::Current;
        }
        let missing = usize::try_from(self.version - version).unwrap_or(usize::MAX);
        if let Some(skipped) = self.recent_patches.len().checked_sub(missing) {
            let patches: Vec<Bytes> = self.recent_patches.iter().skip(skipped).cloned().collect();
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
