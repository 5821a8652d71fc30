//! A feed that is held open through the demo.

use std::time::{Duration, Instant};

use eyre::{bail, ensure};
use http::{Method, Request};
use http_body_util::BodyExt;
use peridotfold_wire::body::Body;
use peridotfold_wire::http_client::{HttpClient, PooledBody};
use peridotfold_wire::runtime;

use super::cluster::{Cluster, SERVICE, TOKEN};

/// Lines of the feed; at 50 ms each it outlasts the faults.
const LINES: u32 = 400;
const OPEN_LIMIT: Duration = Duration::from_secs(10);
const END_LIMIT: Duration = Duration::from_secs(60);

/// A feed whose lines are counted as they arrive.
#[derive(Debug)]
pub struct Feed {
    task: smol::Task<eyre::Result<u32>>,
}

impl Feed {
    /// Opens the feed through entry-2 on the agent with number `vm` (from 0), which no fault of
    /// the demo hits: a feed through a killed process cannot survive it.
    ///
    /// # Errors
    ///
    /// Fails when no try reaches that agent.
    pub fn open(cluster: &Cluster, vm: usize) -> eyre::Result<Self> {
        let address = cluster.entry_addresses()[1];
        let wanted = format!("vm-{}", vm + 1);
        let begin = Instant::now();
        while begin.elapsed() < OPEN_LIMIT {
            let request = Request::builder()
                .method(Method::GET)
                .uri(format!("/s/{SERVICE}/feed?count={LINES}&period_ms=50"))
                .header(http::header::HOST, address.to_string())
                .header(http::header::AUTHORIZATION, format!("Bearer {TOKEN}"))
                .header("request-timeout-ms", "60000")
                .body(Body::empty())?;
            let response = smol::block_on(HttpClient::default().send(address, request))?;
            let agent = response.headers().get("peridotfold-agent").cloned();
            if agent.is_some_and(|name| name.as_bytes() == wanted.as_bytes()) {
                let task = runtime::spawn(count_lines(response.into_body()));
                return Ok(Feed { task });
            }
        }
        bail!("no feed was routed to {wanted} within {OPEN_LIMIT:?}")
    }

    /// Waits for the end and returns how many lines arrived, of how many.
    ///
    /// # Errors
    ///
    /// Fails when the feed was cut, or a line was missing or out of place.
    pub fn finish(self) -> eyre::Result<(u32, u32)> {
        let limited = futures_lite::future::or(self.task, async {
            runtime::sleep(END_LIMIT).await;
            bail!("the feed did not end within {END_LIMIT:?}")
        });
        let lines = smol::block_on(limited)?;
        ensure!(lines == LINES, "the feed ended after {lines} of {LINES} lines");
        Ok((lines, LINES))
    }
}

async fn count_lines(mut body: PooledBody) -> eyre::Result<u32> {
    let mut text = Vec::new();
    while let Some(frame) = body.frame().await {
        if let Ok(data) = frame?.into_data() {
            text.extend_from_slice(&data);
        }
    }
    let text = String::from_utf8(text)?;
    let mut count = 0;
    for line in text.lines() {
        ensure!(line.ends_with(&count.to_string()), "line {count} of the feed is `{line}`");
        count += 1;
    }
    Ok(count)
}
