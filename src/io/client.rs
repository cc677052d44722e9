//! HTTP client for the state service, the cloud and direct commands to workers.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Method, Request, header::RETRY_AFTER};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::{
    client::legacy::{Client as HttpClient, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer},
};
use tokio::sync::mpsc::UnboundedSender;

use crate::{
    core::{
        CallId, Input,
        cluster::DirectCommands,
        machine::DirectReply,
        provisioning::{CloudReply, CloudRequest},
        store::{StateReply, StateRequest},
    },
    settings::Settings,
    wire,
};

type Http = HttpClient<HttpConnector, Full<Bytes>>;

/// Maximum size of a response body.
const MAX_RESPONSE_BYTES: usize = 8 << 20;
const DIRECT_TIMEOUT: Duration = Duration::from_secs(1);
const CLOUD_TIMEOUT: Duration = Duration::from_secs(5);

pub struct Client {
    http: Http,
    state: SocketAddr,
    cloud: SocketAddr,
    results: UnboundedSender<Input>,
}

struct Reply {
    status: u16,
    retry_after: Option<Duration>,
    body: Bytes,
}

impl Client {
    pub fn new(settings: &Settings, results: UnboundedSender<Input>) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(Duration::from_secs(1)));
        let http = HttpClient::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(Duration::from_secs(30))
            .pool_max_idle_per_host(4)
            .build(connector);
        Self {
            http,
            state: settings.services.state,
            cloud: settings.services.cloud,
            results,
        }
    }

    pub fn state(&self, call: CallId, request: StateRequest, timeout: Duration) {
        let (method, path, body) = wire::state::encode(&request);
        let reply = exchange(self.http.clone(), self.state, method, path, body, timeout);
        let results = self.results.clone();
        tokio::task::spawn_local(async move {
            let reply = match reply.await {
                Some(r) => wire::state::decode(&request, r.status, r.retry_after, &r.body),
                None => StateReply::Unclear,
            };
            let _ = results.send(Input::State { call, reply });
        });
    }

    pub fn cloud(&self, call: CallId, request: CloudRequest) {
        let (method, path, body) = match &request {
            CloudRequest::Types => (Method::GET, "/flavors".to_owned(), None),
            CloudRequest::List { after } => (Method::GET, wire::cloud::list_path(after), None),
            CloudRequest::Provision(provision) => (
                Method::POST,
                "/hosts".to_owned(),
                Some(wire::cloud::provision_body(provision)),
            ),
            CloudRequest::Release { machines } => (
                Method::POST,
                "/hosts/release".to_owned(),
                Some(wire::cloud::release_body(machines)),
            ),
        };
        let reply = exchange(
            self.http.clone(),
            self.cloud,
            method,
            path,
            body,
            CLOUD_TIMEOUT,
        );
        let results = self.results.clone();
        tokio::task::spawn_local(async move {
            let reply = match reply.await {
                Some(r) => wire::cloud::decode(&request, r.status, &r.body),
                None => CloudReply::Unclear,
            };
            let _ = results.send(Input::Cloud { call, reply });
        });
    }
}

impl Client {
    /// Queues an input for the node, behind the results that are already queued.
    pub fn send_input(&self, input: Input) {
        let _ = self.results.send(input);
    }

    /// Sends commands directly to a worker.
    pub fn direct(&self, call: CallId, direct: &DirectCommands) {
        let body =
            wire::worker::commands_body(direct.token, Some(direct.session), &direct.commands);
        let path = "/do".to_owned();
        let (http, body) = (self.http.clone(), Some(body));
        let reply = exchange(http, direct.addr, Method::POST, path, body, DIRECT_TIMEOUT);
        let results = self.results.clone();
        tokio::task::spawn_local(async move {
            let reply = match reply.await {
                Some(r) => wire::worker::decode_direct(r.status, &r.body),
                None => DirectReply::Unclear,
            };
            let _ = results.send(Input::Direct { call, reply });
        });
    }
}

/// Sends a request, and returns the response unless it fails or times out.
async fn exchange(
    http: Http,
    to: SocketAddr,
    method: Method,
    path: String,
    body: Option<String>,
    timeout: Duration,
) -> Option<Reply> {
    let mut request = Request::builder()
        .method(method)
        .uri(format!("http://{to}{path}"));
    if body.is_some() {
        request = request.header(http::header::CONTENT_TYPE, "application/json");
    }
    let request = request
        .body(Full::new(Bytes::from(body.unwrap_or_default())))
        .ok()?;
    let answer = async {
        let response = http.request(request).await.ok()?;
        let status = response.status().as_u16();
        let retry_after = response
            .headers()
            .get(RETRY_AFTER)
            .and_then(|v| v.to_str().ok()?.parse::<f64>().ok())
            .map(crate::settings::seconds);
        let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES)
            .collect()
            .await
            .ok()?
            .to_bytes();
        Some(Reply {
            status,
            retry_after,
            body,
        })
    };
    tokio::time::timeout(timeout, answer).await.ok()?
}
