//! JSON text of documents, and merge patches (RFC 7396).

use std::collections::BTreeMap;

use bytes::Bytes;
use serde::de::DeserializeOwned;
use serde_json::{Map, Value};

use crate::config::{validate, Document, Problem};

/// Largest document, as JSON, in bytes.
pub const DOCUMENT_LIMIT: usize = 512 * 1024;
/// Largest patch in bytes.
pub const PATCH_LIMIT: usize = 64 * 1024;

/// Applies an operator's patch, and checks the patch and the resulting document.
///
/// # Errors
///
/// Returns all faults found.
pub fn apply_patch(document: &Document, patch: &[u8]) -> Result<Document, Vec<Problem>> {
    if patch.len() > PATCH_LIMIT {
        let detail = format!("the patch has {} bytes; the limit is {PATCH_LIMIT}", patch.len());
        return Err(vec![Problem::new("", detail)]);
    }
    let patched = merge_patch(document, patch)?;
    let mut problems = validate(&patched);
    let size = encode_document(&patched).len();
    if size > DOCUMENT_LIMIT {
        let detail = format!("the document has {size} bytes; the limit is {DOCUMENT_LIMIT}");
        problems.push(Problem::new("", detail));
    }
    match problems.is_empty() {
        true => Ok(patched),
        false => Err(problems),
    }
}

/// Applies a patch that was accepted before, so that its content is not checked again.
///
/// # Errors
///
/// Fails when the patch or its result does not have the shape of a document.
pub fn merge_patch(document: &Document, patch: &[u8]) -> Result<Document, Vec<Problem>> {
    let mut merged = match serde_json::to_value(document) {
        Ok(value) => value,
        Err(error) => return Err(vec![Problem::new("", error)]),
    };
    merge_value(&mut merged, patch).map_err(|problem| vec![problem])?;
    document_from(merged)
}

/// Applies a patch to a document's JSON form.
///
/// # Errors
///
/// Fails when the patch is not a JSON object.
pub fn merge_value(document: &mut Value, patch: &[u8]) -> Result<(), Problem> {
    match serde_json::from_slice(patch) {
        Ok(patch @ Value::Object(_)) => {
            json_patch::merge(document, &patch);
            Ok(())
        }
        // Any other value would replace the whole document.
        Ok(_) => Err(Problem::new("", "the patch is not a JSON object")),
        Err(error) => Err(Problem::new("", format!("the patch is not JSON: {error}"))),
    }
}

/// Returns a document as JSON.
pub fn encode_document(document: &Document) -> Bytes {
    // Maps with text keys and plain fields always have a JSON form.
    serde_json::to_vec(document).unwrap_or_default().into()
}

/// Parses a document.
///
/// # Errors
///
/// Lists each entry that does not have the expected shape.
pub fn decode_document(json: &[u8]) -> Result<Document, Vec<Problem>> {
    match serde_json::from_slice(json) {
        Ok(value) => document_from(value),
        Err(error) => Err(vec![Problem::new("", error)]),
    }
}

/// Builds a document from its JSON form.
///
/// # Errors
///
/// Lists each entry that does not have the expected shape.
pub fn document_from(value: Value) -> Result<Document, Vec<Problem>> {
    let Value::Object(mut sections) = value else {
        return Err(vec![Problem::new("", "the document is not a JSON object")]);
    };
    let mut problems = Vec::new();
    let document = Document {
        vm_sizes: section(&mut sections, "vm_sizes", &mut problems),
        cells: section(&mut sections, "cells", &mut problems),
        teams: section(&mut sections, "teams", &mut problems),
        services: section(&mut sections, "services", &mut problems),
        classes: section(&mut sections, "classes", &mut problems),
        closings: section(&mut sections, "closings", &mut problems),
    };
    problems.extend(sections.keys().map(|name| Problem::new(name, "there is no such section")));
    match problems.is_empty() {
        true => Ok(document),
        false => Err(problems),
    }
}

/// Reads each entry of a section by itself, so that one fault does not hide the others.
fn section<T: DeserializeOwned>(
    sections: &mut Map<String, Value>,
    name: &str,
    problems: &mut Vec<Problem>,
) -> BTreeMap<String, T> {
    let entries = match sections.remove(name) {
        None => return BTreeMap::new(),
        Some(Value::Object(entries)) => entries,
        Some(_) => {
            problems.push(Problem::new(name, "is not a JSON object"));
            return BTreeMap::new();
        }
    };
    let mut parsed = BTreeMap::new();
    for (key, value) in entries {
        match serde_json::from_value(value) {
            Ok(entry) => {
                parsed.insert(key, entry);
            }
            Err(error) => problems.push(Problem::new(format!("{name}.{key}"), error)),
        }
    }
    parsed
}
