//! Repository of numbered configuration versions, stored in the journal `config`.
//!
//! A patch applies to one version, its base, and creates the next version.

mod history;

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use parking_lot::RwLock;
use peridotfold_core::config::{apply_patch, encode_document, ConfigState, Document, Problem};
use peridotfold_core::id::ConfigVersion;
use peridotfold_core::message::announce::ConfigUpdate;
use peridotfold_wire::runtime;
use smol::lock::Mutex;

use self::history::{Change, History};
use crate::journal::{archive, Journal, JournalError};
use crate::Store;

/// Name of the journal that holds the configuration.
pub const JOURNAL_NAME: &str = "config";
/// Maximum number of attempts to append one patch. An attempt can lose to another writer that
/// rewrote the log without adding a version.
const MAX_ATTEMPTS: usize = 8;
/// Maximum number of attempts to determine the outcome of a write.
const MAX_RESOLVES: u32 = 3;
/// Pause before the first attempt to determine an outcome; it doubles with each further attempt.
const RESOLVE_BACKOFF: Duration = Duration::from_millis(50);
/// Maximum length of an author's name, in bytes.
const MAX_AUTHOR_BYTES: usize = 256;

/// Reason why a patch was rejected, or why its outcome is unknown.
#[derive(Debug)]
pub enum SubmitError {
    /// The base version is outdated: `author` sent the patch that became version base + 1.
    /// `author` is empty if that version is no longer kept or cannot be read.
    Stale { current: ConfigVersion, author: String },
    /// The base version does not exist yet.
    Future { current: ConfigVersion },
    /// The patch or the resulting document is invalid.
    Invalid(Vec<Problem>),
    /// The patch was not applied, because the journal failed.
    Unavailable(JournalError),
    /// The patch may have been applied. Once the store is available again, the version after the
    /// base shows whether it was.
    Unknown(JournalError),
}

impl fmt::Display for SubmitError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SubmitError::Stale { current, author } => {
                write!(
                    f,
                    "the base version is outdated: {author} was first; version {current} is current"
                )
            }
            SubmitError::Future { current } => {
                write!(f, "the base version does not exist; version {current} is current")
            }
            SubmitError::Invalid(problems) => {
                let messages: Vec<String> = problems.iter().map(Problem::to_string).collect();
                write!(f, "invalid patch: {}", messages.join("; "))
            }
            SubmitError::Unavailable(error) => write!(f, "the patch was not applied: {error}"),
            SubmitError::Unknown(error) => write!(f, "the patch may have been applied: {error}"),
        }
    }
}

impl std::error::Error for SubmitError {}

/// One process's view of the configuration versions.
#[derive(Debug, Clone)]
pub struct ConfigRepository<S: Store> {
    shared: Arc<Shared<S>>,
}

/// State shared by the clones of a repository. Lock order: `journal`, then `state`. The lock of
/// `journal` is asynchronous and held during calls of the store; the lock of `state` is never held
/// across an await.
#[derive(Debug)]
struct Shared<S: Store> {
    store: S,
    journal: Mutex<Journal<S, History>>,
    state: RwLock<ConfigState>,
}

impl<S: Store> ConfigRepository<S> {
    /// Opens the repository and reads the current version. `writer` must be unique to each start of
    /// each process.
    ///
    /// # Errors
    ///
    /// Fails when the store is unavailable or holds a document that this release cannot read.
    pub async fn open(store: S, writer: u64) -> Result<Self, JournalError> {
        let journal: Journal<S, History> =
            Journal::open(store.clone(), JOURNAL_NAME, writer).await?.with_archive();
        let state = RwLock::new(ConfigState::default());
        journal
            .state()
            .document()
            .map_err(|problems| corrupt_version(journal.sequence(), &problems))?;
        publish(&state, &journal);
        Ok(ConfigRepository {
            shared: Arc::new(Shared { store, journal: Mutex::new(journal), state }),
        })
    }

    /// Returns the newest version known to this process and its document. The version never
    /// decreases.
    pub fn current(&self) -> (ConfigVersion, Arc<Document>) {
        let state = self.shared.state.read();
        (state.version, state.document.clone())
    }

    /// Returns the update from `version` to the newest version known to this process.
    pub fn update_since(&self, version: ConfigVersion) -> ConfigUpdate {
        let state = {
            let state = self.shared.state.read();
            // Nearly all announcements carry the current version.
            if version >= state.version {
                return ConfigUpdate::Current;
            }
            state.clone()
        };
        state.update_since(version)
    }

    /// Returns the most recent versions with their authors, oldest first.
    pub async fn recent(&self) -> Vec<(ConfigVersion, String)> {
        let journal = self.shared.journal.lock().await;
        journal.state().recent().map(|(version, c)| (version, c.author.clone())).collect()
    }

    /// Returns the document of a version as JSON, or `None` if the version does not exist or is no
    /// longer kept.
    ///
    /// # Errors
    ///
    /// Fails when the version is not the current one and the store is unavailable or holds a
    /// malformed value.
    pub async fn document_at(&self, version: ConfigVersion) -> Result<Option<Bytes>, JournalError> {
        let state = self.shared.state.read().clone();
        if state.version == version {
            return Ok(Some(state.encoded()));
        }
        let found =
            archive::state_at::<S, History>(&self.shared.store, JOURNAL_NAME, version).await?;
        let Some((history, _)) = found else { return Ok(None) };
        let document =
            history.document().map_err(|problems| corrupt_version(version, &problems))?;
        Ok(Some(encode_document(&document)))
    }

    /// Applies a patch to the version `base` if it is still the current one. Returns the new
    /// version.
    ///
    /// # Errors
    ///
    /// See [`SubmitError`]. After any error but [`SubmitError::Unknown`] the patch was not applied
    /// and will not be.
    pub async fn submit(
        &self,
        base: ConfigVersion,
        patch: Bytes,
        author: &str,
    ) -> Result<ConfigVersion, SubmitError> {
        if author.len() > MAX_AUTHOR_BYTES {
            let detail = format!("the author's name exceeds {MAX_AUTHOR_BYTES} bytes");
            return Err(SubmitError::Invalid(vec![Problem::new("", detail)]));
        }
        let mut journal = self.shared.journal.lock().await;
        let result = self.submit_locked(&mut journal, base, patch, author).await;
        publish(&self.shared.state, &journal);
        drop(journal);
        match result {
            Err(SubmitError::Stale { current, .. }) => {
                let author = self.author_of(base + 1).await;
                Err(SubmitError::Stale { current, author })
            }
            result => result,
        }
    }

    /// Appends a patch to the locked journal.
    async fn submit_locked(
        &self,
        journal: &mut Journal<S, History>,
        base: ConfigVersion,
        patch: Bytes,
        author: &str,
    ) -> Result<ConfigVersion, SubmitError> {
        for _ in 0..MAX_ATTEMPTS {
            // Resolves an earlier submission, which this one must not continue even if the patch is
            // the same. If the store is down, the refresh fails before the patch is sent.
            journal.refresh().await.map_err(SubmitError::Unavailable)?;
            let current = journal.sequence();
            if base > current {
                return Err(SubmitError::Future { current });
            }
            if base < current {
                return Err(SubmitError::Stale { current, author: String::new() });
            }
            let document = journal.state().document().map_err(SubmitError::Invalid)?;
            apply_patch(&document, &patch).map_err(SubmitError::Invalid)?;
            let change = Change { author: author.to_owned(), patch: patch.clone() };
            match journal.append(vec![change]).await {
                Ok(()) => return Ok(base + 1),
                Err(JournalError::Fenced) => {}
                Err(JournalError::Undetermined) => {
                    return Err(SubmitError::Unknown(JournalError::Undetermined))
                }
                Err(error) if journal.is_unresolved() => {
                    if resolve(journal, error).await? {
                        return Ok(base + 1);
                    }
                }
                Err(error) => return Err(SubmitError::Unavailable(error)),
            }
        }
        Err(SubmitError::Unavailable(JournalError::Fenced))
    }

    /// Returns the author of a version, or an empty name if it cannot be found.
    async fn author_of(&self, version: ConfigVersion) -> String {
        let recent = self.recent().await;
        if let Some((_, author)) = recent.into_iter().find(|(number, _)| *number == version) {
            return author;
        }
        match archive::state_at::<S, History>(&self.shared.store, JOURNAL_NAME, version).await {
            Ok(Some((_, Some(change)))) => change.author,
            Ok(_) => String::new(),
            Err(error) => {
                tracing::warn!(event = "author_not_found", version, %error);
                String::new()
            }
        }
    }

    /// Waits up to `wait` for a version higher than `after`, and makes it the current one. An error
    /// may be returned immediately, so the caller should pause before it retries.
    ///
    /// # Errors
    ///
    /// Fails when the store is unavailable or holds a malformed value.
    pub async fn wait_for_change(
        &self,
        after: ConfigVersion,
        wait: Duration,
    ) -> Result<Option<(ConfigVersion, Arc<Document>)>, JournalError> {
        let deadline = runtime::now() + wait;
        loop {
            let log_version = {
                let journal = self.shared.journal.lock().await;
                // The future of a submission may have been dropped before it published its version.
                publish(&self.shared.state, &journal);
                journal.log_version()
            };
            let current = self.current();
            if current.0 > after {
                return Ok(Some(current));
            }
            let remaining = deadline.saturating_sub(runtime::now());
            let key = archive::log_key(JOURNAL_NAME);
            let changed = self.shared.store.watch(&key, log_version, remaining).await;
            if changed.map_err(JournalError::Unavailable)?.is_none() {
                return Ok(None);
            }
            let mut journal = self.shared.journal.lock().await;
            journal.refresh().await?;
        }
    }
}

/// Returns the error for a version whose document this release cannot read.
fn corrupt_version(version: ConfigVersion, problems: &[Problem]) -> JournalError {
    let messages: Vec<String> = problems.iter().map(Problem::to_string).collect();
    JournalError::Corrupt {
        key: format!("{JOURNAL_NAME} version {version}"),
        detail: messages.join("; "),
    }
}

/// Determines whether an append was committed whose write failed with `first_error`.
async fn resolve<S: Store>(
    journal: &mut Journal<S, History>,
    first_error: JournalError,
) -> Result<bool, SubmitError> {
    let mut last_error = first_error;
    for attempt in 0..MAX_RESOLVES {
        runtime::sleep(RESOLVE_BACKOFF * 2_u32.pow(attempt)).await;
        match journal.resolve().await {
            Ok(true) => return Ok(true),
            Ok(false) => return Err(SubmitError::Unavailable(last_error)),
            Err(JournalError::Undetermined) => {
                return Err(SubmitError::Unknown(JournalError::Undetermined))
            }
            Err(error) => last_error = error,
        }
    }
    Err(SubmitError::Unknown(last_error))
}

/// Updates `state` to the version of the journal. A document that this release cannot read is
/// skipped, and the process keeps the last one that it could read.
fn publish<S: Store>(state: &RwLock<ConfigState>, journal: &Journal<S, History>) {
    let history = journal.state();
    let mut state = state.write();
    let update = history.update_since(state.version);
    if let Err(error) = state.apply_update(&update) {
        tracing::error!(event = "config_not_applied", version = history.version, %error);
    }
}
