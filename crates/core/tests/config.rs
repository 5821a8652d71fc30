//! Guards against the acceptance of invalid configuration documents, and against processes that
//! have different documents for the same version.

use std::sync::Arc;

use bytes::Bytes;
use peridotfold_core::config::patch::{MAX_DOCUMENT_BYTES, MAX_PATCH_BYTES};
use peridotfold_core::config::{
    apply_patch, decode_document, encode_document, validate, ConfigState, Document, UpdateError,
};
use peridotfold_core::message::announce::ConfigUpdate;
use serde_json::{json, Value};

fn base_document() -> Document {
    let digest = "a".repeat(64);
    let amount = |cpu: u64| json!({"cpu_milli": cpu, "memory_mib": 1000, "accelerators": 0});
    let text = json!({
        "vm_sizes": {"small": amount(16_000), "large": {"cpu_milli": 60_000, "memory_mib": 250_000, "accelerators": 2}},
        "cells": {"c1": {"data_centre": "brno"}},
        "teams": {"north": {"token_sha256": digest, "quota": amount(1000)}},
        "services": {"listings": {"teams": ["north"], "limit": amount(10_000)}},
        "classes": {"rebuild": {"limit": amount(4000)}},
        "closings": {"december": {
            "start": "2026-12-31T12:00:00Z", "end": "2027-01-01T06:00:00Z",
            "services": ["listings"], "classes": ["rebuild"], "batch_limit": amount(2000)
        }},
    });
    decode_document(text.to_string().as_bytes()).unwrap()
}

fn problem_fields(patch: &Value) -> Vec<String> {
    match apply_patch(&base_document(), patch.to_string().as_bytes()) {
        Ok(_) => Vec::new(),
        Err(problems) => problems.into_iter().map(|problem| problem.field).collect(),
    }
}

#[test]
fn each_fault_is_found_and_names_its_field() {
    assert_eq!(validate(&base_document()), Vec::new());
    let amount = |cpu: u64| json!({"cpu_milli": cpu, "memory_mib": 1000, "accelerators": 0});
    let closing = |start: &str, end: &str, service: &str| json!({"start": start, "end": end, "services": [service], "classes": [], "batch_limit": amount(1)});
    let service = |field: &str, value: Value| json!({"services": {"listings": {field: value}}});
    let december = |field: &str, value: Value| json!({"closings": {"december": {field: value}}});
    let table: Vec<(Value, &str)> = vec![
        (service("teams", json!(["north", "south"])), "services.listings.teams"),
        (service("teams", json!(["north", "north"])), "services.listings.teams"),
        (service("limit", amount(60_001)), "services.listings.limit"),
        // Each amount alone fits a VM size, but no size has all of them.
        (
            service("limit", json!({"cpu_milli": 1, "memory_mib": 250_000, "accelerators": 3})),
            "services.listings.limit",
        ),
        (service("limit", amount(0)), "services.listings.limit.cpu_milli"),
        (service("slots", json!(0)), "services.listings.slots"),
        (service("slots", json!(5000)), "services.listings.slots"),
        (service("slots", json!(-1)), "services.listings"),
        (service("connections", json!(0)), "services.listings.connections"),
        (service("connections", json!(7)), "services.listings.connections"),
        (service("queue", json!(70_000)), "services.listings.queue"),
        (service("timeout_ms", json!(0)), "services.listings.timeout_ms"),
        (service("target_ms", json!(0)), "services.listings.target_ms"),
        (service("surprise", json!(1)), "services.listings"),
        (json!({"services": {"a/b": {"limit": amount(1)}}}), "services.a/b"),
        (json!({"cells": {"": {"data_centre": "brno"}}}), "cells."),
        (json!({"cells": {"a/b": {"data_centre": "brno"}}}), "cells.a/b"),
        (json!({"cells": {"..": {"data_centre": "brno"}}}), "cells..."),
        (json!({"cells": {"a b": {"data_centre": "brno"}}}), "cells.a b"),
        (json!({"cells": {"c1": {"data_centre": ""}}}), "cells.c1.data_centre"),
        (json!({"cells": {"c1": {"data_centre": null}}}), "cells.c1"),
        (json!({"teams": {"north": {"token_sha256": "A".repeat(64)}}}), "teams.north.token_sha256"),
        (json!({"teams": {"north": {"token_sha256": "a".repeat(63)}}}), "teams.north.token_sha256"),
        (
            json!({"teams": {"south": {"token_sha256": "a".repeat(64), "quota": amount(1)}}}),
            "teams.south.token_sha256",
        ),
        (json!({"classes": {"rebuild": {"limit": amount(60_001)}}}), "classes.rebuild.limit"),
        (json!({"vm_sizes": {"none": amount(0)}}), "vm_sizes.none.cpu_milli"),
        (december("end", json!("2026-12-31T12:00:00Z")), "closings.december.end"),
        (december("end", json!("2026-12-30T12:00:00Z")), "closings.december.end"),
        (december("start", json!("31 December")), "closings.december.start"),
        (december("services", json!(["other"])), "closings.december.services"),
        (december("services", json!([])), "closings.december.services"),
        (december("classes", json!(["other"])), "closings.december.classes"),
        (december("batch_limit", amount(99_000)), "closings.december.batch_limit"),
        (december("lead_s", json!(31 * 24 * 3600)), "closings.december.lead_s"),
        (
            json!({"closings": {"new": closing("2027-01-01T05:59:59Z", "2027-01-02T00:00:00Z", "listings")}}),
            "closings.new",
        ),
        (
            json!({"closings": {"new": closing("2026-12-31T00:00:00Z", "2027-01-02T00:00:00Z", "listings")}}),
            "closings.december",
        ),
        (json!({"classes": {"rebuild": null}}), "closings.december.classes"),
        (json!({"surprise": {}}), "surprise"),
        (json!({"cells": 5}), "cells"),
        (json!(null), ""),
        (json!([]), ""),
    ];
    for (patch, field) in &table {
        assert_eq!(problem_fields(patch), [*field], "{patch}");
    }
    let allowed = [
        json!({}),
        json!({"closings": {"new": closing("2027-01-01T06:00:00Z", "2027-01-02T00:00:00Z", "listings")}}),
        json!({"closings": null, "classes": null, "services": null}),
        service("slots", Value::Null),
    ];
    for patch in &allowed {
        assert_eq!(problem_fields(patch), Vec::<String>::new(), "{patch}");
    }
}

#[test]
fn closings_may_overlap_only_without_a_shared_service() {
    let other = json!({
        "services": {"other": {"limit": {"cpu_milli": 1, "memory_mib": 1, "accelerators": 0}}},
        "closings": {"new": {
            "start": "2026-12-31T12:00:00Z", "end": "2027-01-01T06:00:00Z", "services": ["other"],
            "classes": ["rebuild"], "batch_limit": {}
        }}
    });
    assert_eq!(problem_fields(&other), Vec::<String>::new());
}

#[test]
fn all_faults_are_listed_at_once() {
    let patch = json!({
        "services": {"listings": {"slots": 0, "teams": ["south"], "timeout_ms": 0}},
        "teams": {"north": {"token_sha256": "x"}},
        "closings": {"december": {"start": "x", "end": "y", "services": ["gone"]}},
    });
    let mut found = problem_fields(&patch);
    found.sort();
    assert_eq!(
        found,
        [
            "closings.december.end",
            "closings.december.services",
            "closings.december.start",
            "services.listings.slots",
            "services.listings.teams",
            "services.listings.timeout_ms",
            "teams.north.token_sha256",
        ]
    );
    // All malformed elements are reported, not only the first.
    let shapes = json!({"cells": {"c1": 1, "c2": {}}, "classes": {"rebuild": {"limit": "x"}}});
    assert_eq!(problem_fields(&shapes), ["cells.c1", "cells.c2", "classes.rebuild"]);
}

#[test]
fn oversized_patches_and_documents_are_rejected() {
    let padding = " ".repeat(MAX_PATCH_BYTES - 1);
    assert!(apply_patch(&base_document(), format!("{{}}{padding}").as_bytes()).is_err());
    assert!(apply_patch(&base_document(), format!("{{}}{}", &padding[1..]).as_bytes()).is_ok());
    let mut document = base_document();
    let mut added = 0;
    let problems = loop {
        let cells: Value = (0..700)
            .map(|index| (format!("cell-{}", added + index), json!({"data_centre": "brno"})))
            .collect::<serde_json::Map<_, _>>()
            .into();
        added += 700;
        match apply_patch(&document, json!({ "cells": cells }).to_string().as_bytes()) {
            Ok(patched) => document = patched,
            Err(problems) => break problems,
        }
    };
    assert!(encode_document(&document).len() <= MAX_DOCUMENT_BYTES);
    assert_eq!(problems.len(), 1);
    assert!(problems[0].detail.contains("limit"), "{}", problems[0]);
}

#[test]
fn arbitrary_patches_never_panic() {
    let document = base_document();
    bolero::check!().with_iterations(5_000).for_each(|input: &[u8]| {
        let _ = apply_patch(&document, input);
        let _ = decode_document(input);
    });
}

/// Guards against diverging documents: a follower that missed versions and receives updates late,
/// out of order and repeatedly must end with the leader's document and never return to a lower
/// version.
#[test]
fn followers_converge_and_never_go_back() {
    for seed in 0..20 {
        let mut random = fastrand::Rng::with_seed(seed);
        let mut leader = ConfigState::new(0, Arc::new(base_document()));
        let mut follower = leader.clone();
        let mut delayed: Vec<ConfigUpdate> = Vec::new();
        for _ in 0..400 {
            let cell = format!("c{}", random.u32(..20));
            let value = if random.bool() { json!({"data_centre": "brno"}) } else { Value::Null };
            let mut patch = json!({"cells": {cell: value}}).to_string();
            if random.u32(..10) == 0 {
                patch.push_str(&" ".repeat(random.usize(..3000)));
            }
            let first = leader.version + 1;
            let next = ConfigUpdate::Patches { first, patches: vec![Bytes::from(patch)] };
            assert_eq!(leader.apply_update(&next), Ok(true));
            if random.u32(..12) == 0 {
                delayed.push(leader.update_since(random.u64(..=leader.version)));
            }
            if random.u32(..8) == 0 {
                let before = follower.version;
                let update = match delayed.len() {
                    0 => continue,
                    count => delayed.swap_remove(random.usize(..count)),
                };
                match follower.apply_update(&update) {
                    Ok(changed) => assert_eq!(changed, follower.version > before),
                    Err(error) => {
                        assert!(matches!(error, UpdateError::Gap { .. }), "{error}");
                        assert_eq!(follower.version, before);
                    }
                }
                assert!(follower.version >= before);
            }
        }
        let update = leader.update_since(follower.version);
        assert!(follower.apply_update(&update).is_ok());
        assert_eq!((follower.version, &follower.document), (leader.version, &leader.document));
        assert_eq!(follower.apply_update(&leader.update_since(0)), Ok(false), "seed {seed}");
    }
}

#[test]
fn a_malformed_update_changes_nothing() {
    let mut state = ConfigState::new(3, Arc::new(base_document()));
    let updates = [
        ConfigUpdate::Patches {
            first: 4,
            patches: vec![Bytes::from_static(b"{\"cells\":null}"), Bytes::from_static(b"[]")],
        },
        ConfigUpdate::Patches { first: 5, patches: vec![Bytes::from_static(b"{}")] },
        ConfigUpdate::Document { version: 9, document: Bytes::from_static(b"{\"cells\":1}") },
    ];
    for update in &updates {
        assert!(state.apply_update(update).is_err());
        assert_eq!((state.version, &*state.document), (3, &base_document()));
    }
}
