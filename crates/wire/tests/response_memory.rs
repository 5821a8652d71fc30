//! Memory of responses. A test binary of its own, because it measures the whole process.

use std::io::{Read, Write};
use std::net::TcpListener;
use std::thread;
use std::time::Duration;

use http::Method;
use peridotfold_wire::http_client::{HttpClient, MAX_RESPONSE_BYTES};
use peridotfold_wire::runtime;

/// Chunks of one byte in the response. As a list of parts they would take more than any response may.
const CHUNKS: usize = 500_000;
const CHUNKS_PER_WRITE: usize = 4_000;
const TIMEOUT: Duration = Duration::from_secs(120);

/// Returns the peak memory of this process, in bytes.
fn peak_memory() -> usize {
    let status = std::fs::read_to_string("/proc/self/status").expect("the kernel's figures");
    let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).expect("a peak");
    let kib: usize = peak.trim().trim_end_matches(" kB").parse().expect("a number");
    kib * 1024
}

/// Guards against a response in small parts that takes many times its size: the store and workers are other
/// processes, and a process must not end because of what they answer.
#[test]
fn a_response_in_chunks_of_one_byte_takes_its_size() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
    let address = listener.local_addr().expect("an address");
    let server = thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let mut request = [0; 1024];
        let _ = stream.read(&mut request).expect("a request");
        let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        stream.write_all(head.as_bytes()).expect("the head is sent");
        let chunks = "1\r\nx\r\n".repeat(CHUNKS_PER_WRITE);
        for _ in 0..CHUNKS / CHUNKS_PER_WRITE {
            stream.write_all(chunks.as_bytes()).expect("chunks are sent");
        }
        stream.write_all(b"0\r\n\r\n").expect("the end is sent");
    });
    runtime::start_threads(1);
    let before = peak_memory();
    let client = HttpClient::default();
    let answer = smol::block_on(client.simple(address, Method::GET, "/", "", TIMEOUT));
    assert_eq!(answer.expect("an answer").body().len(), CHUNKS);
    server.join().expect("the server ends");
    // The response itself, and once more each for its growth and for the rest.
    let grown = peak_memory() - before;
    assert!(grown <= 3 * MAX_RESPONSE_BYTES, "{grown} bytes");
}
