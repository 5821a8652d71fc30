//! `peridotfold explain`.

use eyre::eyre;
use peridotfold_core::flow::explain::{ExplainJob, ExplainReply, ExplainedStep};
use peridotfold_core::flow::model::{parse_job, Queue};
use peridotfold_platform::jobs;
use peridotfold_wire::runtime;

use super::config::read_file;
use super::CommandError;
use crate::options::{Help, Opt, Values};

pub const OPTIONS: &[Opt] = &[
    Opt { flag: "internal", value: "IP:PORT", help: "Internal address of an entry", default: None },
    Opt {
        flag: "queue",
        value: "NAME",
        help: "Queue of the job in FILE, as in the log line of a submission",
        default: Some(""),
    },
    Opt { flag: "json", value: "", help: "Print JSON", default: Some("") },
];

const HELP: Help = Help {
    usage: "peridotfold explain <FILE | ID> [OPTIONS]",
    about:
        "Tells where the tasks of a job would go now, and why, without sending the job. The job\n\
            is described by JSON in FILE (`-` is standard input), or is known by its ID.",
    options: &[OPTIONS],
};

/// Runs the command.
///
/// # Errors
///
/// Fails on usage errors, when no owner can be reached, and when it does not know the job or the queue.
pub fn run(parser: lexopt::Parser) -> Result<(), CommandError> {
    let Some(mut values) = Values::read(parser, &HELP) else { return Ok(()) };
    let job = values.argument("FILE or ID");
    let address = values.address("internal");
    let queue = values.optional("queue");
    let as_json = !values.optional("json").is_empty();
    let number = parse_job(&job);
    if number.is_none() && queue.is_empty() {
        values.problem("--queue is required for a job in a file");
    }
    values.finish()?;
    let job = match number {
        Some(number) => ExplainJob::Known(number),
        None => {
            let spec = jobs::decode(&read_file(&job)?, named_queue(queue), 0);
            ExplainJob::New(Box::new(spec.map_err(CommandError::usage)?))
        }
    };
    let reply = runtime::run(1, peridotfold_hosted::explain::ask(address, &job));
    let steps = match reply.map_err(|error| eyre!("{error}"))? {
        ExplainReply::Steps(steps) => steps,
        ExplainReply::Redirect { .. } => return Err(eyre!("the owner is not known").into()),
        ExplainReply::Busy => return Err(eyre!("too many explanations; ask again").into()),
        ExplainReply::Unsettled => return Err(eyre!("the owner has not settled").into()),
        ExplainReply::UnknownJob => return Err(eyre!("the job is not known or has ended").into()),
        ExplainReply::UnknownQueue(name) => return Err(eyre!("no queue `{name}`").into()),
    };
    match as_json {
        true => {
            let text = serde_json::to_string_pretty(&steps).map_err(|error| eyre!(error))?;
            println!("{text}");
        }
        false => steps.iter().for_each(print_step),
    }
    Ok(())
}

/// Returns a queue by its name; the owner replaces it by the configured one.
fn named_queue(name: String) -> Queue {
    Queue {
        name,
        service: String::new(),
        priority: 0,
        attempts: 1,
        stretch: 1.0,
        slack_ms: 0,
        advice: None,
    }
}

fn print_step(step: &ExplainedStep) {
    println!("occurrence={} step={} tasks={}", step.occurrence, step.step, step.waiting);
    if !step.is_ready {
        println!("  waits for earlier steps");
        return;
    }
    let counts = |rows: &[(String, u32)]| {
        let pairs: Vec<String> =
            rows.iter().map(|(name, count)| format!("{name}:{count}")).collect();
        pairs.join(",")
    };
    println!(
        "  place={} queue={} nodes={} open={} fits={} misfits={} closed={} kept={}",
        step.place,
        step.queue,
        step.nodes,
        step.open,
        step.fits,
        counts(&step.misfits),
        counts(&step.closed),
        step.kept.join(",")
    );
    for start in &step.starts {
        println!("  start task={} node={} far={}", start.index, start.node, start.is_far);
    }
    for wait in &step.near_waits {
        println!("  near_wait task={} rack={} limit_ms={}", wait.index, wait.rack, wait.limit_ms);
    }
    let time = |ms: Option<u64>| ms.map_or("unknown".to_owned(), |ms| ms.to_string());
    println!("  wait_ms={} end_ms={}", time(step.wait_ms), time(step.end_ms));
}
