//! The stand-in for the network: what tests of cuts rely on.

use std::time::Duration;

use futures_lite::{future, AsyncReadExt, AsyncWriteExt};
use peridotfold_standins::forwarder::{Flow, Flows, Forwarder};
use peridotfold_wire::runtime;
use smol::net::{TcpListener, TcpStream};

/// Bound on a transfer, which no target bounds.
const PATIENCE: Duration = Duration::from_secs(10);

fn run(test: impl std::future::Future<Output = ()>) {
    runtime::start_threads(1);
    smol::block_on(future::or(test, async {
        runtime::sleep(PATIENCE).await;
        panic!("no end within {PATIENCE:?}");
    }));
}

async fn start() -> (Forwarder, TcpListener) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("listener");
    let forwarder = Forwarder::start().await.expect("forwarder");
    forwarder.set_target(listener.local_addr().expect("address"));
    (forwarder, listener)
}

/// Opens a connection through the forwarder; returns its client's and its target's end.
async fn open(forwarder: &Forwarder, listener: &TcpListener) -> (TcpStream, TcpStream) {
    let client = TcpStream::connect(forwarder.address()).await.expect("connection");
    (client, listener.accept().await.expect("connection").0)
}

async fn expect(stream: &mut TcpStream, bytes: &[u8]) {
    let mut found = vec![0; bytes.len()];
    stream.read_exact(&mut found).await.expect("bytes");
    assert_eq!(found, bytes);
}

/// Guards against a cut that also stops the other direction or closes the connection, and against a
/// stream that goes on after a gap.
#[test]
fn a_direction_is_dropped_and_the_other_goes_on() {
    run(async {
        let (forwarder, listener) = start().await;
        let (mut client, mut target) = open(&forwarder, &listener).await;
        client.write_all(b"one").await.expect("write");
        expect(&mut target, b"one").await;
        forwarder.set_flows(Flows { to_target: Flow::Drop, ..Flows::default() });
        client.write_all(b"lost").await.expect("write");
        while forwarder.dropped() < 4 {
            runtime::sleep(Duration::from_millis(5)).await;
        }
        target.write_all(b"answer").await.expect("write");
        expect(&mut client, b"answer").await;
        forwarder.set_flows(Flows::default());
        client.write_all(b"after").await.expect("write");
        while forwarder.dropped() < 9 {
            runtime::sleep(Duration::from_millis(5)).await;
        }
        let (mut client, mut target) = open(&forwarder, &listener).await;
        client.write_all(b"new").await.expect("write");
        expect(&mut target, b"new").await;
        assert_eq!((forwarder.connections(), forwarder.open()), (2, 2));
    });
}

/// Guards against a cut in both directions that lets something through.
#[test]
fn a_cut_drops_both_directions() {
    run(async {
        let (forwarder, listener) = start().await;
        let (mut client, mut target) = open(&forwarder, &listener).await;
        forwarder.set_flows(Flows::CUT);
        client.write_all(b"there").await.expect("write");
        target.write_all(b"back").await.expect("write");
        while forwarder.dropped() < 9 {
            runtime::sleep(Duration::from_millis(5)).await;
        }
    });
}

/// Guards against a delay that does not let a newer connection overtake, or loses the end.
#[test]
fn a_newer_connection_overtakes_delayed_bytes() {
    run(async {
        const DELAY: Duration = Duration::from_millis(500);
        let (forwarder, listener) = start().await;
        let (mut old, mut old_target) = open(&forwarder, &listener).await;
        let begin = runtime::now();
        forwarder.set_flows(Flows { to_target: Flow::Delay(DELAY), ..Flows::default() });
        old.write_all(b"old").await.expect("write");
        drop(old);
        // The write has to be read before the switch is set back.
        while forwarder.delayed() < 3 {
            runtime::sleep(Duration::from_millis(5)).await;
        }
        forwarder.set_flows(Flows::default());
        let (mut new, mut new_target) = open(&forwarder, &listener).await;
        new.write_all(b"new").await.expect("write");
        expect(&mut new_target, b"new").await;
        assert_eq!(forwarder.late(), 0, "the older bytes arrived first");
        expect(&mut old_target, b"old").await;
        assert!(runtime::now() - begin >= DELAY);
        let mut rest = Vec::new();
        old_target.read_to_end(&mut rest).await.expect("the end");
        assert!(rest.is_empty());
    });
}
