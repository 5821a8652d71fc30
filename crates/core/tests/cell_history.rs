//! Tests of the history checker: it rejects a bad history for each kind of violation. Guards
//! against a checker that accepts everything.

#[path = "support/history.rs"]
mod history;

use bytes::Bytes;
use history::{check, Observation, Violation};
use peridotfold_core::cell::{CellState, Event, JobSpec};
use peridotfold_core::message::report::{AttemptId, Token};
use peridotfold_core::resources::Resources;

/// Returns the id of the attempt with this fencing token number.
fn id(number: u64) -> AttemptId {
    AttemptId { job: "job".to_owned(), task: 0, token: Token { epoch: 1, number } }
}

fn submitted() -> Observation {
    let spec = JobSpec {
        id: "job".to_owned(),
        team: "team".to_owned(),
        class: "class".to_owned(),
        tasks: 1,
        need: Resources::new(1, 1, 0),
        command: Bytes::new(),
    };
    Observation::Committed(Event::Submitted { spec, urgent: false })
}

fn started(number: u64) -> Observation {
    Observation::Committed(Event::Started { attempt: id(number), agent: "vm".to_owned() })
}

fn execution_started(number: u64) -> Observation {
    Observation::ExecutionStarted { attempt: id(number), checkpoint: None }
}

fn execution_ended(number: u64) -> Observation {
    Observation::ExecutionEnded { attempt: id(number) }
}

fn completed(number: u64) -> Observation {
    Observation::Committed(Event::Completed { attempt: id(number) })
}

fn evicted(number: u64, checkpoint: Option<&'static str>) -> Observation {
    let checkpoint = checkpoint.map(|text| Bytes::from_static(text.as_bytes()));
    Observation::Committed(Event::Evicted { attempt: id(number), checkpoint })
}

fn reported(number: u64, checkpoint: &'static str) -> Observation {
    let checkpoint = Some(Bytes::from_static(checkpoint.as_bytes()));
    Observation::EvictionReported { attempt: id(number), checkpoint }
}

fn cancelled() -> Observation {
    Observation::Committed(Event::CancelRequested { job: "job".to_owned() })
}

fn job_accepted() -> Observation {
    Observation::JobAccepted("job".to_owned())
}

/// Returns the state after the committed events of a history.
fn replay(history: &[Observation]) -> CellState {
    let mut state = CellState::default();
    for observation in history {
        if let Observation::Committed(event) = observation {
            state.apply(event);
        }
    }
    state
}

/// Checks a history against the final state that follows from it. Returns the violation found.
fn check_history(history: &[Observation]) -> Result<(), Violation> {
    check(history, &replay(history)).map_err(|(violation, _)| violation)
}

#[test]
fn accepts_a_good_history() {
    let mut history =
        vec![submitted(), job_accepted(), started(1), execution_started(1), execution_ended(1)];
    history.extend([
        evicted(1, None),
        started(2),
        execution_started(2),
        execution_ended(2),
        completed(2),
    ]);
    history.push(Observation::Acknowledged(id(2)));
    assert_eq!(check_history(&history), Ok(()));
}

#[test]
fn rejects_bad_histories_of_each_kind() {
    let run = |number| [started(number), execution_started(number), execution_ended(number)];
    let prefix = [submitted(), job_accepted()];
    let cases: Vec<(Violation, Vec<Observation>)> = vec![
        (
            Violation::ConcurrentAttempts,
            vec![
                started(1),
                execution_started(1),
                evicted(1, None),
                started(2),
                execution_started(2),
            ],
        ),
        (Violation::ConcurrentAttempts, vec![started(1), started(2)]),
        (
            Violation::RepeatedExecution,
            vec![started(1), execution_started(1), execution_ended(1), execution_started(1)],
        ),
        (Violation::ExecutionWithoutStart, vec![execution_started(1)]),
        (
            Violation::WrongCheckpoint,
            [&run(1)[..], &[evicted(1, Some("half")), started(2), execution_started(2)]].concat(),
        ),
        (
            Violation::WrongCheckpoint,
            [&run(1)[..], &[reported(1, "half"), evicted(1, None)]].concat(),
        ),
        (Violation::StartAfterCancel, vec![cancelled(), started(1)]),
        (
            Violation::StartAfterCancel,
            vec![started(1), cancelled(), evicted(1, None), execution_started(1)],
        ),
        (Violation::StartAfterCompletion, [&run(1)[..], &[completed(1), started(2)]].concat()),
        (Violation::TokenNotIncreased, vec![started(2), evicted(2, None), started(1)]),
        (
            Violation::AcknowledgedBeforeCommit,
            [&run(1)[..], &[Observation::Acknowledged(id(1))]].concat(),
        ),
        (Violation::JobNotFinished, run(1).to_vec()),
    ];
    for (violation, rest) in cases {
        let history = [&prefix[..], &rest].concat();
        assert_eq!(check_history(&history), Err(violation), "history {history:?}");
    }
    assert_eq!(check_history(&[job_accepted()]), Err(Violation::AcceptedJobMissing));
}

#[test]
fn rejects_an_end_that_the_events_do_not_justify() {
    let run = [submitted(), job_accepted(), started(1), execution_started(1), execution_ended(1)];
    let history = [&run[..], &[completed(1)]].concat();
    let mut end = replay(&history);
    if let Some(job) = end.jobs.get_mut("job") {
        job.completed = 2;
    }
    let found = check(&history, &end).map_err(|(violation, _)| violation);
    assert_eq!(found, Err(Violation::WrongFinalState), "a task counted as completed twice");
    end.jobs.clear();
    let found = check(&history, &end).map_err(|(violation, _)| violation);
    assert_eq!(found, Err(Violation::AcceptedJobMissing), "a submitted job is missing");
}

#[test]
fn rejects_a_second_completion() {
    let history = [submitted(), started(1), completed(1), started(1), completed(1)];
    assert!(check_history(&history).is_err());
}
