//! The configuration across processes: in effect within 7 s, and never an older version again.

#[path = "support/common.rs"]
mod support;

#[path = "support/checks.rs"]
mod checks;

use std::collections::BTreeSet;
use std::sync::Arc;

use bytes::Bytes;
use checks::{processes, Sampler};
use http::{Method, Request};
use peridotfold_standins::store::Faults;
use peridotfold_wire::body::Body;
use peridotfold_wire::runtime;
use serde_json::{json, Value};
use support::{run, within, Cluster, IN_EFFECT, OPERATOR_TOKEN, PATIENCE, SERVICE};

fn timeout_patch(timeout_ms: u64) -> String {
    json!({"services": {SERVICE: {"timeout_ms": timeout_ms}}}).to_string()
}

/// Applies one patch through an entry and returns the new version.
async fn advance(cluster: &Cluster, entry: usize) -> u64 {
    let base = cluster.entry_version(entry).await;
    let (status, answer) = cluster.patch(entry, base, &timeout_patch(1_000 + base)).await;
    assert_eq!((status, answer["version"].as_u64()), (200, Some(base + 1)), "{answer}");
    base + 1
}

/// Guards against versions that take more than 7 s to each process, and against a process that
/// shows an older version in between.
#[test]
fn each_patch_is_in_effect_everywhere_within_seconds() {
    run(async {
        let cluster = Cluster::start(3, 3).await;
        let sampler = Sampler::start(processes(&cluster));
        for round in 0..6 {
            let version = advance(&cluster, round % 3).await;
            cluster.wait_version(version, IN_EFFECT).await;
        }
        sampler.check();
    });
}

/// Guards against a paused entry that serves, or spreads, the version from before its pause: with
/// the store, and without it, when only the other entries know more.
#[test]
fn a_paused_entry_catches_up() {
    run(async {
        for store_down in [false, true] {
            let mut cluster = Cluster::start(2, 2).await;
            let sampler = Sampler::start(processes(&cluster));
            sampler.wait_seen().await;
            cluster.entry(0).signal("STOP").expect("signal");
            let mut version = 1;
            for _ in 0..4 {
                version = advance(&cluster, 1).await;
            }
            within(IN_EFFECT, "agents have the version", || async {
                cluster.agent_version(0).await == version
                    && cluster.agent_version(1).await == version
            })
            .await;
            cluster.set_store_down(store_down);
            cluster.entry(0).signal("CONT").expect("signal");
            cluster.wait_version(version, IN_EFFECT).await;
            cluster.set_store_down(false);
            sampler.check();
        }
    });
}

/// Guards against restarted processes that begin with an older version than the one in effect: an
/// entry while the store is up, an entry while only its peers know the version, and an agent.
#[test]
fn restarted_processes_begin_with_the_version_in_effect() {
    run(async {
        let mut cluster = Cluster::start(2, 2).await;
        let sampler = Sampler::start(processes(&cluster));
        sampler.wait_seen().await;
        for store_down in [false, true] {
            let version = advance(&cluster, 1).await;
            cluster.wait_version(version, IN_EFFECT).await;
            cluster.set_store_down(store_down);
            cluster.entry(0).kill().expect("kill");
            cluster.start_entry(0);
            cluster.agent(0).kill().expect("kill");
            cluster.start_agent(0);
            let agent = Sampler::start(vec![cluster.agent(0).http]);
            cluster.wait_version(version, IN_EFFECT).await;
            // The entries may still show what the agent's predecessor announced.
            within(IN_EFFECT, "the new agent has a version", || async {
                !agent.seen.lock()[0].is_empty()
            })
            .await;
            agent.check();
            assert!(agent.seen.lock()[0].iter().all(|seen| *seen == version));
            cluster.set_store_down(false);
        }
        sampler.check();
        within(PATIENCE, "patches are accepted again", || async {
            let base = cluster.entry_version(0).await;
            cluster.patch(0, base, "{}").await.0 == 200
        })
        .await;
    });
}

async fn patch_as(
    cluster: &Cluster,
    entry: usize,
    base: u64,
    author: &str,
    patch: &str,
) -> (u16, Value) {
    let address = cluster.http(entry);
    let request = Request::builder()
        .method(Method::PATCH)
        .uri(format!("/v1/config?base={base}"))
        .header(http::header::HOST, address.to_string())
        .header(http::header::AUTHORIZATION, format!("Bearer {OPERATOR_TOKEN}"))
        .header("peridotfold-author", author)
        .body(Body::full(Bytes::copy_from_slice(patch.as_bytes())))
        .expect("request");
    let response = cluster.client.exchange(address, request, PATIENCE).await.expect("an answer");
    let content = serde_json::from_slice(response.body()).unwrap_or_default();
    (response.status().as_u16(), content)
}

/// Guards against two patches on one base that are both accepted, and against operators who do not
/// hear whose patch was first.
#[test]
fn one_of_several_racing_patches_wins() {
    run(async {
        let cluster = Arc::new(Cluster::without_agents(3, 0).await);
        for base in 1..6 {
            cluster.wait_version(base, IN_EFFECT).await;
            let racers: Vec<_> = (0..9)
                .map(|racer: usize| {
                    let cluster = cluster.clone();
                    runtime::spawn(async move {
                        let author = format!("operator-{racer}");
                        let patch = timeout_patch(base * 100 + racer as u64);
                        patch_as(&cluster, racer % 3, base, &author, &patch).await
                    })
                })
                .collect();
            let mut answers = Vec::new();
            for racer in racers {
                answers.push(racer.await);
            }
            let won: Vec<usize> =
                (0..answers.len()).filter(|racer| answers[*racer].0 == 200).collect();
            assert_eq!(won.len(), 1, "winners of base {base}: {answers:?}");
            let winner = format!("operator-{}", won[0]);
            for (status, answer) in answers.iter().filter(|(status, _)| *status != 200) {
                assert_eq!((*status, answer["author"].as_str()), (409, Some(winner.as_str())));
            }
            cluster.wait_version(base + 1, IN_EFFECT).await;
            let timeout = base * 100 + won[0] as u64;
            for entry in 0..3 {
                let (_, shown) =
                    cluster.operate(cluster.http(entry), Method::GET, "/v1/config", "").await;
                assert_eq!(shown["document"]["services"][SERVICE]["timeout_ms"], timeout);
            }
        }
    });
}

/// Guards against a patch that is applied twice, or reported as another's or as refused, when the
/// store applied it and its answer was lost.
#[test]
fn a_patch_whose_answer_was_lost_is_applied_once() {
    run(async {
        let cluster = Cluster::without_agents(2, 0).await;
        cluster.store.set_faults(Faults { lose_probability: 0.5, ..Faults::default() });
        let mut base = 1;
        let mut applied = BTreeSet::new();
        for number in 0..20_u64 {
            let timeout = 2_000 + number;
            let (status, answer) =
                cluster.patch((number % 2) as usize, base, &timeout_patch(timeout)).await;
            match status {
                200 => assert_eq!(answer["version"], base + 1),
                // The operator cannot know; the version tells.
                504 => {}
                _ => panic!("patch {number} on {base}: {status} {answer}"),
            }
            let expected = if status == 200 { base + 1 } else { base };
            within(IN_EFFECT, "the version is known", || async {
                cluster.entry_version(0).await >= expected
                    && cluster.entry_version(0).await == cluster.entry_version(1).await
            })
            .await;
            let version = cluster.entry_version(0).await;
            assert!((base..=base + 1).contains(&version), "{base} became {version}");
            if version > base {
                applied.insert((version, timeout));
            }
            base = version;
        }
        cluster.store.set_faults(Faults::default());
        assert!(applied.len() > 10, "too few patches were applied: {applied:?}");
        for (version, timeout) in applied {
            let path = format!("/v1/config/{version}");
            let (_, shown) = cluster.operate(cluster.http(0), Method::GET, &path, "").await;
            assert_eq!(shown["document"]["services"][SERVICE]["timeout_ms"], timeout, "{version}");
        }
    });
}
