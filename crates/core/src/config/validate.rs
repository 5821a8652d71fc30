//! Validation of a whole configuration document.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::time::SystemTime;

use serde::{Deserialize, Serialize};

use crate::config::{Closing, Document, Service, Team};
use crate::resources::Resources;

const MAX_NAME_BYTES: usize = 64;
/// Equals the number of concurrent streams on a connection between processes.
const MAX_SLOTS: u32 = 4096;
const MAX_CONNECTIONS: u32 = 4096;
const MAX_QUEUE_LENGTH: u32 = 65_536;
const MAX_TIMEOUT_MS: u64 = 24 * 3600 * 1000;
const MAX_LEAD_S: u64 = 30 * 24 * 3600;
const DIGEST_HEX_DIGITS: usize = 64;

/// One error in a document or a patch.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Problem {
    /// Dotted path of the field; empty if the problem concerns the whole document.
    pub field: String,
    pub detail: String,
}

impl Problem {
    /// Creates a problem from the path of the field and a description.
    pub fn new(field: impl Into<String>, detail: impl fmt::Display) -> Self {
        Problem { field: field.into(), detail: detail.to_string() }
    }
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.field.as_str() {
            "" => f.write_str(&self.detail),
            field => write!(f, "{field}: {}", self.detail),
        }
    }
}

/// Returns all problems of a document. The document may take effect if there are none.
pub fn validate(document: &Document) -> Vec<Problem> {
    let mut validator = Validator { document, problems: Vec::new() };
    validator.check_names();
    validator.check_vm_sizes();
    validator.check_teams();
    document.services.iter().for_each(|(name, service)| validator.check_service(name, service));
    validator.check_classes();
    validator.check_closings();
    validator.problems
}

struct Validator<'a> {
    document: &'a Document,
    problems: Vec<Problem>,
}

impl Validator<'_> {
    fn add_problem(&mut self, field: impl Into<String>, detail: impl fmt::Display) {
        self.problems.push(Problem::new(field, detail));
    }

    fn check_names(&mut self) {
        let document = self.document;
        let sections: [(&str, Vec<&String>); 6] = [
            ("vm_sizes", document.vm_sizes.keys().collect()),
            ("cells", document.cells.keys().collect()),
            ("teams", document.teams.keys().collect()),
            ("services", document.services.keys().collect()),
            ("classes", document.classes.keys().collect()),
            ("closings", document.closings.keys().collect()),
        ];
        for (section, names) in sections {
            for name in names {
                self.check_name(format!("{section}.{name}"), name);
            }
        }
        for (name, cell) in &document.cells {
            self.check_name(format!("cells.{name}.data_centre"), &cell.data_centre);
        }
    }

    /// Checks a name, which becomes part of store keys and URL paths.
    fn check_name(&mut self, field: String, name: &str) {
        let is_allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | '-');
        match name {
            "" => self.add_problem(field, "the name is empty"),
            "." | ".." => self.add_problem(field, "the name is reserved"),
            _ if name.len() > MAX_NAME_BYTES => {
                self.add_problem(field, format!("the name exceeds {MAX_NAME_BYTES} bytes"))
            }
            _ if name.contains('/') => self.add_problem(field, "the name contains a slash"),
            _ if !name.chars().all(is_allowed) => self
                .add_problem(field, "the name may contain only letters, digits, '.', '_' and '-'"),
            _ => {}
        }
    }

    fn check_vm_sizes(&mut self) {
        for (name, size) in &self.document.vm_sizes {
            let field = format!("vm_sizes.{name}");
            self.check_positive(&field, size);
        }
    }

    fn check_positive(&mut self, field: &str, amount: &Resources) {
        if amount.cpu_milli == 0 {
            self.add_problem(format!("{field}.cpu_milli"), "must be greater than zero");
        }
        if amount.memory_mib == 0 {
            self.add_problem(format!("{field}.memory_mib"), "must be greater than zero");
        }
    }

    fn check_fits(&mut self, field: &str, limit: &Resources) {
        if !self.document.vm_sizes.values().any(|size| limit.fits_in(size)) {
            self.add_problem(field, "does not fit any VM size");
        }
    }

    fn check_teams(&mut self) {
        let mut teams_by_digest: BTreeMap<&str, &str> = BTreeMap::new();
        let document = self.document;
        for (name, Team { token_sha256: digest, .. }) in &document.teams {
            let field = format!("teams.{name}.token_sha256");
            let is_hex = |b: u8| matches!(b, b'0'..=b'9' | b'a'..=b'f');
            if digest.len() != DIGEST_HEX_DIGITS || !digest.bytes().all(is_hex) {
                self.add_problem(field, "is not a SHA-256 digest in lower-case hex");
            } else if let Some(other) = teams_by_digest.insert(digest, name) {
                self.add_problem(field, format!("is also the digest of team {other}"));
            }
        }
    }

    fn check_references<'n>(
        &mut self,
        field: &str,
        names: &'n [String],
        kind: &str,
        exists: impl Fn(&str) -> bool,
    ) {
        let mut seen: BTreeSet<&'n str> = BTreeSet::new();
        for name in names {
            if !exists(name) {
                self.add_problem(field, format!("{kind} {name:?} does not exist"));
            }
            if !seen.insert(name) {
                self.add_problem(field, format!("{name:?} is listed twice"));
            }
        }
    }

    fn check_range(&mut self, field: String, value: u64, low: u64, high: u64) {
        if value < low || value > high {
            self.add_problem(field, format!("{value} is not between {low} and {high}"));
        }
    }

    fn check_service(&mut self, name: &str, service: &Service) {
        let field = |part: &str| format!("services.{name}.{part}");
        let document = self.document;
        let is_team = |team: &str| document.teams.contains_key(team);
        self.check_references(&field("teams"), &service.teams, "team", is_team);
        self.check_positive(&field("limit"), &service.limit);
        self.check_fits(&field("limit"), &service.limit);
        self.check_range(field("slots"), service.slots.into(), 1, MAX_SLOTS.into());
        self.check_range(
            field("connections"),
            service.connections.into(),
            1,
            MAX_CONNECTIONS.into(),
        );
        self.check_range(field("queue"), service.queue.into(), 0, MAX_QUEUE_LENGTH.into());
        self.check_range(field("timeout_ms"), service.timeout_ms, 1, MAX_TIMEOUT_MS);
        self.check_range(field("target_ms"), service.target_ms, 1, MAX_TIMEOUT_MS);
        let is_in_range = service.connections > 0 && service.slots <= MAX_SLOTS;
        if is_in_range && service.connections < service.slots {
            self.add_problem(
                field("connections"),
                "must be at least slots, because each running request uses a connection",
            );
        }
    }

    fn check_classes(&mut self) {
        for (name, class) in &self.document.classes {
            let field = format!("classes.{name}.limit");
            self.check_positive(&field, &class.limit);
            self.check_fits(&field, &class.limit);
        }
    }

    fn check_closings(&mut self) {
        let document = self.document;
        let mut periods: Vec<(&str, &Closing, SystemTime, SystemTime)> = Vec::new();
        for (name, closing) in &document.closings {
            let field = |part: &str| format!("closings.{name}.{part}");
            let is_service = |service: &str| document.services.contains_key(service);
            let is_class = |class: &str| document.classes.contains_key(class);
            self.check_references(&field("services"), &closing.services, "service", is_service);
            self.check_references(&field("classes"), &closing.classes, "class", is_class);
            self.check_fits(&field("batch_limit"), &closing.batch_limit);
            self.check_range(field("lead_s"), closing.lead_s, 0, MAX_LEAD_S);
            if closing.services.is_empty() {
                self.add_problem(field("services"), "must list at least one service");
            }
            for (part, text) in [("start", &closing.start), ("end", &closing.end)] {
                if let Err(error) = humantime::parse_rfc3339(text) {
                    self.add_problem(
                        field(part),
                        format!("{text:?} is not RFC 3339 in UTC: {error}"),
                    );
                }
            }
            match closing.period() {
                Ok((start, end)) if end <= start => {
                    self.add_problem(field("end"), "must be after the start")
                }
                Ok((start, end)) => periods.push((name, closing, start, end)),
                Err(_) => {}
            }
        }
        self.check_overlaps(&mut periods);
    }

    fn check_overlaps(&mut self, periods: &mut [(&str, &Closing, SystemTime, SystemTime)]) {
        periods.sort_by_key(|(_, _, start, _)| *start);
        for (index, (name, closing, _, end)) in periods.iter().enumerate() {
            let later = periods[index + 1..].iter().take_while(|(_, _, start, _)| start < end);
            for (other, other_closing, _, _) in later {
                let shared: Vec<&str> = closing
                    .services
                    .iter()
                    .filter(|service| other_closing.services.contains(service))
                    .map(String::as_str)
                    .collect();
                if !shared.is_empty() {
                    let detail = format!("overlaps {name} in {}", shared.join(", "));
                    self.add_problem(format!("closings.{other}"), detail);
                }
            }
        }
    }
}
