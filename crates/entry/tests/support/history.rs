//! History of requests with keys, and the check of a whole history.

use std::collections::HashMap;

/// How a request ended for its caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum End {
    Answered(String),
    NotRun,
    /// Unknown, or no response.
    Unknown,
}

/// One fact, in the order of a history.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Fact {
    Invoked {
        request: u64,
        key: String,
    },
    /// An upstream ran a request and answers `text`.
    Executed {
        key: String,
        text: String,
    },
    Ended {
        request: u64,
        end: End,
    },
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Violation {
    /// An answer is not that of the request's key.
    WrongAnswer,
    ExecutedTwice,
    /// Executed after each request with the key was answered as not run.
    ExecutedAfterNotRun,
    /// Answered as not run, although the key had run before the request came.
    NotRunAfterExecution,
}

#[derive(Default)]
struct Key {
    executed: Option<String>,
    /// Requests that are not answered as not run.
    possible: u32,
}

/// Checks a history.
///
/// # Errors
///
/// Returns the first violation with its place.
pub fn check(history: &[Fact]) -> Result<(), (Violation, usize)> {
    let mut keys: HashMap<&str, Key> = HashMap::new();
    // Key of each open request, and whether the key had run when it came.
    let mut requests: HashMap<u64, (&str, bool)> = HashMap::new();
    for (place, fact) in history.iter().enumerate() {
        let violation = match fact {
            Fact::Invoked { request, key } => {
                let state = keys.entry(key).or_default();
                state.possible += 1;
                requests.insert(*request, (key, state.executed.is_some()));
                None
            }
            Fact::Executed { key, text } => {
                let state = keys.entry(key).or_default();
                match state.executed.replace(text.clone()) {
                    Some(_) => Some(Violation::ExecutedTwice),
                    None if state.possible == 0 => Some(Violation::ExecutedAfterNotRun),
                    None => None,
                }
            }
            Fact::Ended { request, end } => {
                let (key, had_run) = requests.remove(request).expect("the request was invoked");
                let state = keys.entry(key).or_default();
                match end {
                    End::Answered(text) if state.executed.as_ref() != Some(text) => {
                        Some(Violation::WrongAnswer)
                    }
                    End::NotRun if had_run => Some(Violation::NotRunAfterExecution),
                    End::NotRun => {
                        state.possible -= 1;
                        None
                    }
                    End::Answered(_) | End::Unknown => None,
                }
            }
        };
        if let Some(violation) = violation {
            return Err((violation, place));
        }
    }
    Ok(())
}

/// Returns the key that a fact is about.
pub fn key_of(history: &[Fact], place: usize) -> &str {
    match &history[place] {
        Fact::Invoked { key, .. } | Fact::Executed { key, .. } => key,
        Fact::Ended { request: ended, .. } => {
            let keys = history.iter().filter_map(|fact| match fact {
                Fact::Invoked { request, key } if request == ended => Some(key.as_str()),
                _ => None,
            });
            keys.fold("", |_, key| key)
        }
    }
}
