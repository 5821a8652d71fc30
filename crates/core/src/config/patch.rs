//! Encoding of the configuration document as JSON, and JSON merge patches (RFC 7396).

use std::collections::BTreeMap;

use bytes::Bytes;
use serde::de::DeserializeOwned;
use serde_json::{Map, Value};

use crate::config::{validate, Document, Problem};

/// Maximum size of the document as JSON, in bytes.
pub const MAX_DOCUMENT_BYTES: usize = 512 * 1024;
/// Maximum size of a patch, in bytes.
pub const MAX_PATCH_BYTES: usize = 64 * 1024;

/// Applies a new patch of an operator after validating its size and the resulting document.
///
/// # Errors
///
/// Returns all problems found.
pub fn apply_patch(document: &Document, patch: &[u8]) -> Result<Document, Vec<Problem>> {
    if patch.len() > MAX_PATCH_BYTES {
        let detail = format!("the patch has {} bytes; the limit is {MAX_PATCH_BYTES}", patch.len());
        return Err(vec![Problem::new("", detail)]);
    }
    let patched = merge_patch(document, patch)?;
    let mut problems = validate(&patched);
    let size = encode_document(&patched).len();
    if size > MAX_DOCUMENT_BYTES {
        let detail = format!("the document has {size} bytes; the limit is {MAX_DOCUMENT_BYTES}");
        problems.push(Problem::new("", detail));
    }
    match problems.is_empty() {
        true => Ok(patched),
        false => Err(problems),
    }
}

/// Applies a patch that was accepted before, without validating the resulting document.
///
/// # Errors
///
/// Fails when the patch is not a JSON object or the result does not match the schema.
pub fn merge_patch(document: &Document, patch: &[u8]) -> Result<Document, Vec<Problem>> {
    let mut merged = match serde_json::to_value(document) {
        Ok(value) => value,
        Err(error) => return Err(vec![Problem::new("", error)]),
    };
    merge_json(&mut merged, patch).map_err(|problem| vec![problem])?;
    document_from_json(merged)
}

/// Applies a patch to a document that is given as JSON value.
///
/// # Errors
///
/// Fails when the patch is not a JSON object.
pub fn merge_json(document: &mut Value, patch: &[u8]) -> Result<(), Problem> {
    match serde_json::from_slice(patch) {
        Ok(patch @ Value::Object(_)) => {
            json_patch::merge(document, &patch);
            Ok(())
        }
        // RFC 7396 replaces the whole document if the patch is not an object.
        Ok(_) => Err(Problem::new("", "the patch is not a JSON object")),
        Err(error) => Err(Problem::new("", format!("the patch is not JSON: {error}"))),
    }
}

/// Encodes a document as JSON.
pub fn encode_document(document: &Document) -> Bytes {
    // Cannot fail: all map keys are strings.
    serde_json::to_vec(document).unwrap_or_default().into()
}

/// Parses a document from JSON text.
///
/// # Errors
///
/// Returns a problem for each element that does not match the schema.
pub fn decode_document(json: &[u8]) -> Result<Document, Vec<Problem>> {
    match serde_json::from_slice(json) {
        Ok(value) => document_from_json(value),
        Err(error) => Err(vec![Problem::new("", error)]),
    }
}

/// Converts a JSON value to a document.
///
/// # Errors
///
/// Returns a problem for each element that does not match the schema.
pub fn document_from_json(value: Value) -> Result<Document, Vec<Problem>> {
    let Value::Object(mut sections) = value else {
        return Err(vec![Problem::new("", "the document is not a JSON object")]);
    };
    let mut problems = Vec::new();
    let document = Document {
        vm_sizes: parse_section(&mut sections, "vm_sizes", &mut problems),
        cells: parse_section(&mut sections, "cells", &mut problems),
        teams: parse_section(&mut sections, "teams", &mut problems),
        services: parse_section(&mut sections, "services", &mut problems),
        classes: parse_section(&mut sections, "classes", &mut problems),
        closings: parse_section(&mut sections, "closings", &mut problems),
    };
    problems.extend(sections.keys().map(|name| Problem::new(name, "unknown section")));
    match problems.is_empty() {
        true => Ok(document),
        false => Err(problems),
    }
}

/// Parses each element of a section separately, so that all malformed elements are reported.
fn parse_section<T: DeserializeOwned>(
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
