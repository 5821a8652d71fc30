//! A feed that is held open through the demo.

use std::time::Duration;

use eyre::{bail, ensure};
use http::{Method, Request};
use http_body_util::BodyExt;
use peridotfold_wire::body::Body;
use peridotfold_wire::http_client::{HttpClient, PooledBody};
use peridotfold_wire::runtime;

use super::cluster::{Cluster, SERVICE, TOKEN};

/// Lines of the feed; at 50 ms each it outlasts the faults.
const LINES: u32 = 400;
const END_LIMIT: Duration = Duration::from_secs(60);

/// A feed whose lines are counted as they arrive.
#[derive(Debug)]
pub struct Feed {
    task: smol::Task<eyre::Result<u32>>,
}

impl Feed {
    /// Opens the feed through entry-2, which no fault of the demo hits: a feed through a killed
    /// process cannot survive it.
    ///
    /// # Errors
    ///
    /// Fails when the feed is refused.
    pub fn open(cluster: &Cluster) -> eyre::Result<Self> {
        let address = cluster.entry_addresses()[1];
        let request = Request::builder()
            .method(Method::GET)
            .uri(format!("/s/{SERVICE}/feed?count={LINES}&period_ms=50"))
            .header(http::header::HOST, address.to_string())
            .header(http::header::AUTHORIZATION, format!("Bearer {TOKEN}"))
            .header("request-timeout-ms", "60000")
            .body(Body::empty())?;
        let response = smol::block_on(HttpClient::default().send(address, request))?;
        ensure!(response.status().is_success(), "the feed was refused: {}", response.status());
        Ok(Feed { task: runtime::spawn(count_lines(response.into_body())) })
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
        count += 1;
        ensure!(line == format!("feed {count}"), "line {count} of the feed is `{line}`");
    }
    Ok(count)
}
