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

use crate::ask::{Ask, Next, Tried};

/// Timeout of one attempt; the next node is tried after it.
const ANSWER: Duration = Duration::from_secs(5);
/// Size limit of a response body: about 200 bytes for each machine of a fleet.
const BODY_MOST: usize = 16 << 20;

/// Sends requests to a cluster's nodes.
pub struct Client {
    http: HttpClient<HttpConnector, Full<Bytes>>,
    nodes: Vec<SocketAddr>,
    within: Duration,
}

/// Final response of a node.
#[derive(Debug, Clone, PartialEq)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// JSON body; null if the body is not JSON.
    pub body: Value,
}

impl Answer {
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
    /// Creates a client of these nodes that retries each request for `within`.
    pub fn new(nodes: Vec<SocketAddr>, within: Duration) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(Duration::from_secs(1)));
        Self {
            http: HttpClient::builder(TokioExecutor::new()).build(connector),
            nodes,
            within,
        }
    }

    /// Returns the response of each node to a GET request, in the order of the nodes; `None`
    /// for a node that did not respond.
    pub async fn ask_each(&self, path: &str) -> Vec<Option<Answer>> {
        let mut answers = Vec::new();
        for node in 0..self.nodes.len() {
            let tried = self.once(node, &Method::GET, path, None).await;
            answers.push(tried.map(|(status, _, body)| Answer { status, body }));
        }
        answers
    }

    /// Returns a client of one node alone, with the same retry time.
    pub fn only(&self, node: usize) -> Self {
        Self {
            http: self.http.clone(),
            nodes: self.nodes.get(node).copied().into_iter().collect(),
            within: self.within,
        }
    }

    /// Sends a request until a node responds finally; `None` if none did in time.
    pub async fn ask(&self, method: Method, path: &str, body: Option<&Value>) -> Option<Answer> {
        let first = Instant::now();
        let mut ask = Ask::new(self.nodes.len(), self.within);
        let mut node = ask.node();
        loop {
            let tried = self.once(node, &method, path, body).await;
            let outcome = match &tried {
                Some((status, retry, _)) => Tried::Status(*status, *retry),
                None => Tried::Nothing,
            };
            match ask.step(first.elapsed(), outcome) {
                Next::Final(status) => {
                    let body = tried.map(|(_, _, body)| body).unwrap_or_default();
                    return Some(Answer { status, body });
                }
                Next::Again { node: next, after } => {
                    tokio::time::sleep(after).await;
                    node = next;
                }
                Next::GiveUp => return None,
            }
        }
    }

    async fn once(
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
        let answer = async {
            let response = self.http.request(request).await.ok()?;
            let status = response.status().as_u16();
            let retry = response.headers().get(header::RETRY_AFTER);
            let retry = retry.and_then(|value| value.to_str().ok()?.parse::<f64>().ok());
            let retry = retry.and_then(|s| Duration::try_from_secs_f64(s).ok());
            let body = Limited::new(response.into_body(), BODY_MOST);
            let bytes = body.collect().await.ok()?.to_bytes();
            let body = serde_json::from_slice(&bytes).unwrap_or(Value::Null);
            Some((status, retry, body))
        };
        tokio::time::timeout(ANSWER, answer).await.ok()?
    }
}
