//! Type aliases for identifiers.

/// Name of an agent, stable across restarts on the same VM.
pub type AgentId = String;
/// Name of a cell: a set of workers in one data centre with the jobs given to it.
pub type CellId = String;
/// Name of a data centre.
pub type DataCentreId = String;
/// Name of an entry, stable across restarts.
pub type EntryId = String;
/// Number drawn at each start of a process; tells a restarted process from its predecessor.
pub type Incarnation = u64;
/// Name of a batch job, chosen by its submitter.
pub type JobId = String;
/// Number that an entry gives to a request; unique together with the entry's incarnation.
pub type RequestNumber = u64;
/// Name of a service.
pub type ServiceId = String;
/// Index of a task within its job.
pub type TaskIndex = u32;
/// Name of a team.
pub type TeamId = String;
/// Number of a configuration version. Version 0 is the empty document.
pub type ConfigVersion = u64;
/// Number of an ownership period of a cell. Each takeover raises it.
pub type Epoch = u64;
