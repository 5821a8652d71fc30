//! Options from flags and environment variables, with every problem reported at once.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Display;
use std::net::SocketAddr;
use std::time::Duration;

use crate::cmd::{self, CommandError};
use crate::logging;

/// One option: a flag and its environment variable.
#[derive(Debug)]
pub struct Opt {
    pub flag: &'static str,
    pub value: &'static str,
    pub help: &'static str,
    pub default: Option<&'static str>,
}

const PREFIX: &str = "PERIDOTFOLD_";

impl Opt {
    /// Name of the environment variable that sets the option.
    pub fn variable(&self) -> String {
        format!("{PREFIX}{}", self.flag.replace('-', "_").to_uppercase())
    }
}

/// Help of one command.
#[derive(Debug)]
pub struct Help {
    pub usage: &'static str,
    pub about: &'static str,
    pub options: &'static [&'static [Opt]],
}

/// Values of the options and positional arguments of a command.
#[derive(Debug)]
pub struct Values {
    options: &'static [&'static [Opt]],
    given: BTreeMap<&'static str, String>,
    positional: std::vec::IntoIter<String>,
    problems: Vec<String>,
}

impl Values {
    /// Reads the rest of the command line, then the environment. Returns `None` when help was
    /// asked for and printed.
    pub fn read(mut parser: lexopt::Parser, help: &Help) -> Option<Values> {
        let mut given = BTreeMap::new();
        let mut positional = Vec::new();
        let mut problems = Vec::new();
        loop {
            let flag = match parser.next() {
                Ok(None) => break,
                Ok(Some(lexopt::Arg::Short('h') | lexopt::Arg::Long("help"))) => {
                    print!("{}", help.text());
                    return None;
                }
                Ok(Some(lexopt::Arg::Value(value))) => {
                    positional.push(value.to_string_lossy().into_owned());
                    continue;
                }
                Ok(Some(lexopt::Arg::Long(flag))) => flag.to_owned(),
                Ok(Some(arg)) => {
                    problems.push(arg.unexpected().to_string());
                    continue;
                }
                Err(error) => {
                    problems.push(error.to_string());
                    continue;
                }
            };
            // An option without a value is a switch.
            if let Some(switch) = help.find(&flag).filter(|opt| opt.value.is_empty()) {
                given.insert(switch.flag, "true".to_owned());
                continue;
            }
            match (help.find(&flag), parser.value()) {
                (None, _) => problems.push(format!("unknown option --{flag}")),
                (Some(_), Err(error)) => problems.push(format!("--{flag}: {error}")),
                (Some(opt), Ok(value)) => {
                    given.insert(opt.flag, value.to_string_lossy().into_owned());
                }
            }
        }
        for opt in help.options.iter().copied().flatten() {
            if let (false, Ok(value)) =
                (given.contains_key(opt.flag), std::env::var(opt.variable()))
            {
                given.insert(opt.flag, value);
            }
        }
        problems.extend(unknown_variables());
        let positional = positional.into_iter();
        Some(Values { options: help.options, given, positional, problems })
    }

    /// Returns the next positional argument, or reports that `name` is missing.
    pub fn argument(&mut self, name: &str) -> String {
        match self.positional.next() {
            Some(value) => value,
            None => {
                self.problems.push(format!("missing argument {name}"));
                String::new()
            }
        }
    }

    /// Returns the next positional argument, if any.
    pub fn optional_argument(&mut self) -> Option<String> {
        self.positional.next()
    }

    /// Returns the text of an option; reports it when it is neither given nor has a default.
    pub fn text(&mut self, flag: &'static str) -> String {
        match self.raw(flag) {
            Some(value) if !value.is_empty() => value,
            _ => {
                self.problems.push(format!("--{flag} is required (or {})", self.variable(flag)));
                String::new()
            }
        }
    }

    /// Returns the text of an option, empty when it is not given.
    pub fn optional(&self, flag: &'static str) -> String {
        self.raw(flag).unwrap_or_default()
    }

    /// Returns a name: letters, digits, `-`, `_` and `.`, at most 64 of them.
    pub fn name(&mut self, flag: &'static str) -> String {
        let value = self.text(flag);
        let valid = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
        if value.len() > 64 || !value.chars().all(valid) {
            self.problems.push(format!(
                "--{flag}: `{value}` is not a name of at most 64 letters, digits, `-`, `_` and `.`"
            ));
        }
        value
    }

    /// Returns an IP address with port.
    pub fn address(&mut self, flag: &'static str) -> SocketAddr {
        let value = self.text(flag);
        self.parsed(flag, &value, "IP:PORT", str::parse)
            .unwrap_or_else(|| SocketAddr::from(([0, 0, 0, 0], 0)))
    }

    /// Returns an IP address with port, if it is given.
    pub fn optional_address(&mut self, flag: &'static str) -> Option<SocketAddr> {
        let value = self.raw(flag).filter(|value| !value.is_empty())?;
        self.parsed(flag, &value, "IP:PORT", str::parse)
    }

    /// Returns a comma-separated list of IP addresses with ports; empty when not given.
    pub fn addresses(&mut self, flag: &'static str) -> Vec<SocketAddr> {
        let value = self.raw(flag).unwrap_or_default();
        let parts: Vec<&str> = value.split(',').filter(|part| !part.is_empty()).collect();
        parts.iter().filter_map(|part| self.parsed(flag, part, "IP:PORT", str::parse)).collect()
    }

    /// Returns a whole number.
    pub fn number(&mut self, flag: &'static str) -> u64 {
        let value = self.text(flag);
        self.parsed(flag, &value, "a whole number", str::parse).unwrap_or_default()
    }

    /// Returns a whole number, if it is given.
    pub fn optional_number(&mut self, flag: &'static str) -> Option<u64> {
        let value = self.raw(flag).unwrap_or_default();
        self.parsed(flag, &value, "a whole number", str::parse)
    }

    /// Returns a duration such as `500ms` or `10min`.
    pub fn duration(&mut self, flag: &'static str) -> Duration {
        let value = self.text(flag);
        self.parsed(flag, &value, "a duration such as 500ms or 10min", humantime::parse_duration)
            .unwrap_or_default()
    }

    /// Returns a SHA-256 digest in lower-case hex.
    pub fn digest(&mut self, flag: &'static str) -> String {
        let value = self.text(flag);
        let valid = |c: char| c.is_ascii_digit() || ('a'..='f').contains(&c);
        if !value.is_empty() && (value.len() != 64 || !value.chars().all(valid)) {
            // The value is not printed: a token given by mistake must not reach a log.
            self.problems
                .push(format!("--{flag}: not a SHA-256 digest of 64 lower-case hex digits"));
        }
        value
    }

    /// Returns a log filter.
    pub fn log_filter(&mut self, flag: &'static str) -> String {
        let value = self.text(flag);
        if let Err(error) = logging::check(&value) {
            self.problems.push(format!("--{flag} ({}): {error}", self.variable(flag)));
        }
        value
    }

    /// Adds a problem found by the command itself.
    pub fn problem(&mut self, problem: impl Into<String>) {
        self.problems.push(problem.into());
    }

    /// Reports all problems, also positional arguments that nobody took.
    ///
    /// # Errors
    ///
    /// Returns every problem at once.
    pub fn finish(mut self) -> Result<(), CommandError> {
        for extra in self.positional {
            self.problems.push(format!("unexpected argument `{extra}`"));
        }
        match self.problems.is_empty() {
            true => Ok(()),
            false => Err(CommandError::Usage(self.problems)),
        }
    }

    fn raw(&self, flag: &str) -> Option<String> {
        let default = || self.find(flag).and_then(|opt| opt.default).map(str::to_owned);
        self.given.get(flag).cloned().or_else(default)
    }

    fn find(&self, flag: &str) -> Option<&'static Opt> {
        self.options.iter().copied().flatten().find(|opt| opt.flag == flag)
    }

    fn variable(&self, flag: &str) -> String {
        self.find(flag).map(Opt::variable).unwrap_or_default()
    }

    fn parsed<T, E: Display>(
        &mut self,
        flag: &str,
        value: &str,
        expected: &str,
        parse: impl Fn(&str) -> Result<T, E>,
    ) -> Option<T> {
        if value.is_empty() {
            return None;
        }
        match parse(value) {
            Ok(parsed) => Some(parsed),
            Err(error) => {
                let variable = self.variable(flag);
                self.problems
                    .push(format!("--{flag} ({variable}): `{value}` is not {expected}: {error}"));
                None
            }
        }
    }
}

/// Reports variables with the prefix that no command has. Those of other commands are allowed: a
/// VM may set them for all.
fn unknown_variables() -> impl Iterator<Item = String> {
    let known: BTreeSet<String> =
        cmd::OPTIONS.iter().copied().flatten().map(Opt::variable).collect();
    std::env::vars_os()
        .map(|(name, _)| name.to_string_lossy().into_owned())
        .filter(move |name| name.starts_with(PREFIX) && !known.contains(name))
        .map(|name| format!("unknown variable {name}"))
}

impl Help {
    fn find(&self, flag: &str) -> Option<&'static Opt> {
        self.options.iter().copied().flatten().find(|opt| opt.flag == flag)
    }

    fn text(&self) -> String {
        let mut text = format!("Usage: {}\n\n{}\n", self.usage, self.about);
        if self.options.iter().any(|group| !group.is_empty()) {
            text.push_str("\nOptions:\n");
        }
        for opt in self.options.iter().copied().flatten() {
            text.push_str(&format!("  --{} <{}>\n", opt.flag, opt.value));
            text.push_str(&format!("          {}\n", opt.help));
            let default = opt.default.map(|d| format!(", default: {d}")).unwrap_or_default();
            text.push_str(&format!("          [env: {}{default}]\n", opt.variable()));
        }
        text.push_str("  -h, --help\n          Print help\n");
        text
    }
}
