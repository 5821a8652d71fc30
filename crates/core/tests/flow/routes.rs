//! Routes of an entry and their age.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use peridotfold_core::flow::message::RoutesReply;
use peridotfold_core::flow::routes::view::{Lookup, RoutesView, StoredRoutes};
use peridotfold_core::flow::routes::Routes;

use crate::support::queue;

const BOUND: Duration = Duration::from_secs(2);
const HOST: &str = "a.example";
const PREFIX: &str = "/q/";

fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

/// Returns routes of a version with one queue.
fn stored(version: u64) -> StoredRoutes {
    let routes = Routes::new(version, [(HOST.to_owned(), PREFIX.to_owned(), queue(1))]);
    StoredRoutes { routes: Arc::new(routes), revision: version, value: Bytes::from("value") }
}

/// Returns a view whose routes are those of `version`, confirmed at `as_of`.
fn view(version: u64, as_of: Duration) -> RoutesView {
    let mut view = RoutesView::new(BOUND);
    assert!(view.apply(stored(version)));
    view.confirm(as_of);
    view
}

fn is_unknown(view: &RoutesView, now: Duration, path: &str) -> bool {
    matches!(view.find(now, HOST, path), Lookup::Unknown)
}

/// Guards against a 404 for a route that a newer configuration has added: an entry whose routes may
/// be older than the bound knows only which routes there were.
#[test]
fn a_missing_route_is_unknown_once_the_routes_are_stale() {
    let mut view = view(1, seconds(10.0));
    assert!(matches!(view.find(seconds(12.0), HOST, "/other/7"), Lookup::NotFound));
    assert!(is_unknown(&view, seconds(12.1), "/other/7"));
    let found = view.find(seconds(12.1), HOST, "/q/7");
    assert!(matches!(found, Lookup::Found(found, "7") if found == queue(1)));
    view.confirm(seconds(12.5));
    assert!(matches!(view.find(seconds(13.0), HOST, "/other/7"), Lookup::NotFound));
}

/// Guards against an age that falls without evidence, or a version that falls.
#[test]
fn an_older_confirmation_or_version_changes_nothing() {
    let mut view = view(5, seconds(10.0));
    view.confirm(seconds(9.0));
    assert_eq!(view.age(seconds(11.0)), Some(seconds(1.0)));
    assert!(!view.apply(stored(4)));
    assert!(!view.apply(stored(5)));
    assert_eq!(view.version(), 5);
}

/// Guards against a peer that makes routes look fresher than it knows them to be, or confirms routes
/// of another version.
#[test]
fn a_peer_confirms_as_of_its_own_last_confirmation() {
    let mut view = view(5, seconds(10.0));
    let reply = |version, age| RoutesReply { version, age, newer: None };
    assert!(!view.hear(seconds(13.0), seconds(13.0), &reply(4, Some(Duration::ZERO))));
    assert!(!view.hear(seconds(13.0), seconds(13.0), &reply(5, None)));
    assert_eq!(view.age(seconds(13.0)), Some(seconds(3.0)));
    assert!(!view.hear(seconds(13.0), seconds(13.0), &reply(5, Some(seconds(1.5)))));
    assert_eq!(view.age(seconds(13.0)), Some(seconds(1.5)));
    assert!(view.hear(seconds(13.0), seconds(13.0), &reply(5, Some(seconds(0.5)))));
    assert_eq!(view.age(seconds(13.0)), Some(seconds(0.5)));
}

/// Guards against checks that are too late for the bound, that a calm watch does not save, or that
/// come in quick succession while nobody answers.
#[test]
fn a_check_is_due_before_the_bound_and_backs_off() {
    let mut view = view(1, seconds(10.0));
    assert!(view.watch_wait() < view.check_in(seconds(10.0)));
    assert!(view.check_in(seconds(10.0)) < BOUND * 3 / 4);
    let mut now = seconds(10.0);
    let mut checks = 0;
    while now < seconds(40.0) {
        now += view.check_in(now);
        view.checked(now, false);
        checks += 1;
        assert!(view.check_in(now) <= BOUND / 2, "a check each half of the bound");
    }
    assert!(checks <= 40, "{checks} checks in 30 s");
    view.confirm(now);
    view.checked(now, true);
    assert_eq!(view.check_in(now), BOUND * 7 / 10);
}

/// Guards against routes that count as the newest ones although a newer configuration is stored that
/// this build cannot decode.
#[test]
fn routes_are_not_confirmed_beside_a_newer_configuration_that_cannot_be_decoded() {
    let mut view = view(5, seconds(10.0));
    view.note_unreadable(6);
    view.confirm(seconds(13.0));
    assert_eq!(view.age(seconds(13.0)), Some(seconds(3.0)));
    assert!(is_unknown(&view, seconds(13.0), "/other/7"));
    assert!(view.apply(stored(7)));
    view.confirm(seconds(14.0));
    assert_eq!(view.age(seconds(14.0)), Some(Duration::ZERO));
}
