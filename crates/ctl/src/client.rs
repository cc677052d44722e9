//! Requests over HTTP/1.1, each tried at the nodes in turn.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::{Method, Request, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::{
    client::legacy::{Client as HttpClient, connect::HttpConnector},
    rt::TokioExecutor,
};
use serde_json::Value;

use crate::retry::{AttemptOutcome, RetryState, RetryStep};

/// Timeout of one attempt; the next node is tried after it.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(5);
/// Size limit of a response body: about 200 bytes for each machine of a fleet.
const MAX_BODY_BYTES: usize = 16 << 20;

/// Sends requests to a cluster's nodes.
pub struct Client {
    http: HttpClient<HttpConnector, Full<Bytes>>,
    nodes: Vec<SocketAddr>,
    retry_time: Duration,
}

/// Final response of a node.
#[derive(Debug, Clone, PartialEq)]
pub struct Response {
    /// HTTP status.
    pub status: u16,
    /// JSON body; null if the body is not JSON.
    pub body: Value,
}

impl Response {
    /// Returns the job's state, or `unknown` if the body has none.
    pub fn state(&self) -> &str {
        self.body["attitude"].as_str().unwrap_or("unknown")
    }

    /// Returns the error message of the node.
    pub fn error(&self) -> &str {
        self.body["error"].as_str().unwrap_or("no reason given")
    }
}

impl Client {
    /// Creates a client of these nodes that retries each request for up to `retry_time`.
    pub fn new(nodes: Vec<SocketAddr>, retry_time: Duration) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(Duration::from_secs(1)));
        Self {
            http: HttpClient::builder(TokioExecutor::new()).build(connector),
            nodes,
            retry_time,
        }
    }

    /// Returns the response of each node to a GET request, in the order of the nodes; `None`
    /// for a node that did not respond.
    pub async fn get_from_each(&self, path: &str) -> Vec<Option<Response>> {
        let mut responses = Vec::new();
        for node in 0..self.nodes.len() {
            let response = self.attempt(node, &Method::GET, path, None).await;
            responses.push(response.map(|(status, _, body)| Response { status, body }));
        }
        responses
    }

    /// Returns a client of one node alone, with the same retry time.
    pub fn for_node(&self, node: usize) -> Self {
        Self {
            http: self.http.clone(),
            nodes: self.nodes.get(node).copied().into_iter().collect(),
            retry_time: self.retry_time,
        }
    }

    /// Sends a request until a node gives a final response; `None` if none did in time.
    pub async fn request(
        &self,
        method: Method,
        path: &str,
        body: Option<&Value>,
    ) -> Option<Response> {
        let started = Instant::now();
        let mut retries = RetryState::new(self.nodes.len(), self.retry_time);
        let mut node = retries.node();
        loop {
            let response = self.attempt(node, &method, path, body).await;
            let outcome = match &response {
                Some((status, retry_after, _)) => AttemptOutcome::Status(*status, *retry_after),
                None => AttemptOutcome::NoResponse,
            };
            match retries.next_step(started.elapsed(), outcome) {
                RetryStep::Final(status) => {
                    let body = response.map(|(_, _, body)| body).unwrap_or_default();
                    return Some(Response { status, body });
                }
                RetryStep::Retry { node: next, delay } => {
                    tokio::time::sleep(delay).await;
                    node = next;
                }
                RetryStep::GiveUp => return None,
            }
        }
    }

    async fn attempt(
        &self,
        node: usize,
        method: &Method,
        path: &str,
        body: Option<&Value>,
    ) -> Option<(u16, Option<Duration>, Value)> {
        let text = body.map(Value::to_string).unwrap_or_default();
        let request = Request::builder()
            .method(method.clone())
            .uri(format!("http://{}{path}", self.nodes.get(node)?))
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(text)))
            .ok()?;
        let exchange = async {
            let response = self.http.request(request).await.ok()?;
            let status = response.status().as_u16();
            let retry_after = response.headers().get(header::RETRY_AFTER);
            let retry_after =
                retry_after.and_then(|value| value.to_str().ok()?.parse::<f64>().ok());
            let retry_after = retry_after.and_then(|s| Duration::try_from_secs_f64(s).ok());
            let body = Limited::new(response.into_body(), MAX_BODY_BYTES);
            let bytes = body.collect().await.ok()?.to_bytes();
            let body = serde_json::from_slice(&bytes).unwrap_or(Value::Null);
            Some((status, retry_after, body))
        };
        tokio::time::timeout(ATTEMPT_TIMEOUT, exchange).await.ok()?
    }
}
