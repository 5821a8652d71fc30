//! Type aliases for identifiers.

/// Name of an agent, the process that runs work on a VM; kept when it restarts on the same VM.
pub type AgentId = String;
/// Name of a cell: a set of workers in one data centre, scheduled together, and its batch jobs.
pub type CellId = String;
/// Name of a data centre.
pub type DataCentreId = String;
/// Name of an entry, a process that accepts requests and jobs over HTTP; kept across restarts.
pub type EntryId = String;
/// Random number drawn at each start of a process; distinguishes it from earlier runs.
pub type Incarnation = u64;
/// Name of a batch job, chosen by the team that submits it.
pub type JobId = String;
/// Number that an entry assigns to a request; unique within an incarnation of the entry.
pub type RequestNumber = u64;
/// Name of a latency-critical service.
pub type ServiceId = String;
/// Index of a task within its job.
pub type TaskIndex = u32;
/// Name of a team of callers and job submitters.
pub type TeamId = String;
/// Version number of the configuration. Version 0 is the empty document.
pub type ConfigVersion = u64;
/// Number of an ownership term of a cell. Each takeover by another owner raises it.
pub type Epoch = u64;
