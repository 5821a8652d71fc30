//! History of requests with idempotency keys, and its check for violations of at-most-once
//! execution.

use std::collections::HashMap;

/// Outcome of a request as seen by its caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum End {
    /// Answered with this body.
    Answered(String),
    /// Answered as certainly not run.
    NotRun,
    /// The outcome is unknown, or there was no response.
    Unknown,
}

/// One event of a history.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HistoryEvent {
    /// A client sent a request.
    Invoked { request: u64, key: String },
    /// An upstream ran a request with the key and answers `text`.
    Executed { key: String, text: String },
    /// A request ended for its client.
    Ended { request: u64, end: End },
}

/// A violation of at-most-once execution.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Violation {
    /// A request got another answer than that of the execution with its key.
    WrongAnswer,
    /// Requests with the same key were executed more than once.
    ExecutedTwice,
    /// Executed although all requests with the key had ended as not run.
    ExecutedAfterNotRun,
    /// Ended as not run, although a request with the key had been executed before this one was
    /// sent.
    NotRunAfterExecution,
}

/// State of one idempotency key during the check.
#[derive(Default)]
struct Key {
    /// Answer of the execution, if there was one.
    executed: Option<String>,
    /// Number of requests with the key that have not ended as not run.
    maybe_run: u32,
}

/// Checks a history.
///
/// # Errors
///
/// Returns the first violation and the index of its event.
pub fn check(history: &[HistoryEvent]) -> Result<(), (Violation, usize)> {
    let mut keys: HashMap<&str, Key> = HashMap::new();
    // Idempotency key of each open request, and whether a request with this key had been executed
    // before the open one was sent.
    let mut requests: HashMap<u64, (&str, bool)> = HashMap::new();
    for (index, event) in history.iter().enumerate() {
        let violation = match event {
            HistoryEvent::Invoked { request, key } => {
                let state = keys.entry(key).or_default();
                state.maybe_run += 1;
                requests.insert(*request, (key, state.executed.is_some()));
                None
            }
            HistoryEvent::Executed { key, text } => {
                let state = keys.entry(key).or_default();
                match state.executed.replace(text.clone()) {
                    Some(_) => Some(Violation::ExecutedTwice),
                    None if state.maybe_run == 0 => Some(Violation::ExecutedAfterNotRun),
                    None => None,
                }
            }
            HistoryEvent::Ended { request, end } => {
                let (key, had_run) = requests.remove(request).expect("the request was invoked");
                let state = keys.entry(key).or_default();
                match end {
                    End::Answered(text) if state.executed.as_ref() != Some(text) => {
                        Some(Violation::WrongAnswer)
                    }
                    End::NotRun if had_run => Some(Violation::NotRunAfterExecution),
                    End::NotRun => {
                        state.maybe_run -= 1;
                        None
                    }
                    End::Answered(_) | End::Unknown => None,
                }
            }
        };
        if let Some(violation) = violation {
            return Err((violation, index));
        }
    }
    Ok(())
}

/// Returns the key of the event at an index.
pub fn key_of(history: &[HistoryEvent], index: usize) -> &str {
    match &history[index] {
        HistoryEvent::Invoked { key, .. } | HistoryEvent::Executed { key, .. } => key,
        HistoryEvent::Ended { request: ended, .. } => {
            let keys = history.iter().filter_map(|event| match event {
                HistoryEvent::Invoked { request, key } if request == ended => Some(key.as_str()),
                _ => None,
            });
            keys.fold("", |_, key| key)
        }
    }
}
