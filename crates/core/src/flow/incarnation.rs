//! IDs of workers that restart under the ID that they had.

use super::model::WallMs;

/// Separates the raw ID from the time of the start. It cannot occur in the path of a request, from which raw
/// IDs are read.
const SEPARATOR: char = '#';

/// Returns the ID of an incarnation of the worker `name` that began at `born`; the name alone if the
/// deployment does not tell when its workers began.
pub fn join(name: &str, born: Option<WallMs>) -> String {
    born.map_or_else(|| name.to_owned(), |born| format!("{name}{SEPARATOR}{born}"))
}

/// Returns the name of a worker, which all its incarnations have, and when this one began, if the ID tells.
pub fn split(id: &str) -> (&str, Option<WallMs>) {
    let parts = id.rsplit_once(SEPARATOR).and_then(|(name, at)| Some((name, at.parse().ok()?)));
    parts.map_or((id, None), |(name, born)| (name, Some(born)))
}

/// Tells whether an ID names an incarnation, so that another one may have the same name.
pub fn is_named(id: &str) -> bool {
    split(id).1.is_some()
}

/// Tells whether `id` is another incarnation of the worker `other`; at least one of the IDs tells when it
/// began.
pub fn is_sibling(id: &str, other: &str) -> bool {
    id != other && split(id).0 == split(other).0
}

/// Tells whether `id` is an earlier incarnation of the worker `other`, or does not tell when it began while
/// `other` does.
pub fn is_older(id: &str, other: &str) -> bool {
    is_sibling(id, other) && split(id).1 < split(other).1
}
