//! Small HTTP server and client on hyper that count every byte of their connections, headers
//! included.

use std::{
    convert::Infallible,
    future::Future,
    net::SocketAddr,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    task::{Context, Poll},
    time::Duration,
};

use bytes::Bytes;
use http::{Method, Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::{body::Incoming, client::conn::http1::SendRequest, service::service_fn};
use hyper_util::rt::TokioIo;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::{TcpListener, TcpStream},
    task::JoinHandle,
};

/// Delay after a failed accept, which happens when the process has no free sockets.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Bytes of a group of connections, with HTTP headers and without those of TCP and IP.
#[derive(Debug, Default)]
pub struct Traffic {
    received: AtomicU64,
    sent: AtomicU64,
}

impl Traffic {
    /// Returns the bytes received.
    pub fn received(&self) -> u64 {
        self.received.load(Ordering::Relaxed)
    }

    /// Returns the bytes sent.
    pub fn sent(&self) -> u64 {
        self.sent.load(Ordering::Relaxed)
    }
}

/// TCP stream whose bytes are counted.
struct CountedStream {
    stream: TcpStream,
    traffic: Arc<Traffic>,
}

impl AsyncRead for CountedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(context, buffer);
        let read = buffer.filled().len() - before;
        self.traffic
            .received
            .fetch_add(read as u64, Ordering::Relaxed);
        polled
    }
}

impl CountedStream {
    fn count_sent(&self, polled: &Poll<std::io::Result<usize>>) {
        if let Poll::Ready(Ok(sent)) = polled {
            self.traffic.sent.fetch_add(*sent as u64, Ordering::Relaxed);
        }
    }
}

impl AsyncWrite for CountedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        data: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write(context, data);
        self.count_sent(&polled);
        polled
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        data: &[std::io::IoSlice<'_>],
    ) -> Poll<std::io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write_vectored(context, data);
        self.count_sent(&polled);
        polled
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

/// Request as a handler receives it.
#[derive(Debug)]
pub struct IncomingRequest {
    /// Method.
    pub method: Method,
    /// Path, without the query.
    pub path: String,
    /// Query, not decoded.
    pub query: String,
    /// Body.
    pub body: Bytes,
    /// Address that the client connected to.
    pub local_addr: SocketAddr,
}

impl IncomingRequest {
    /// Returns a value of the query, not decoded.
    pub fn query(&self, name: &str) -> Option<&str> {
        self.query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find(|(key, _)| *key == name)
            .map(|(_, value)| value)
    }
}

/// Status and JSON body of a response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// JSON text.
    pub body: String,
}

impl Reply {
    /// Creates a reply with a body that is already JSON.
    pub fn new(status: u16, body: impl Into<String>) -> Self {
        Self {
            status,
            body: body.into(),
        }
    }

    /// Creates the reply to a malformed request.
    pub(crate) fn malformed() -> Self {
        Self::new(400, r#"{"error":"malformed"}"#)
    }

    /// Creates the reply to a request over a rate limit.
    pub(crate) fn too_many_requests() -> Self {
        Self::new(429, r#"{"error":"too many requests"}"#)
    }

    /// Creates a reply with a value serialized as its body.
    pub fn json(status: u16, body: &impl serde::Serialize) -> Self {
        Self::new(status, serde_json::to_string(body).unwrap_or_default())
    }
}

/// Serves every connection of the listener until the task is dropped.
pub async fn serve<H, F>(listener: TcpListener, traffic: Arc<Traffic>, handler: H)
where
    H: Fn(IncomingRequest) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Reply> + Send + 'static,
{
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let traffic = traffic.clone();
        tokio::spawn(serve_connection(stream, traffic, handler.clone()));
    }
}

async fn serve_connection<H, F>(stream: TcpStream, traffic: Arc<Traffic>, handler: H)
where
    H: Fn(IncomingRequest) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Reply> + Send + 'static,
{
    let Ok(local_addr) = stream.local_addr() else {
        return;
    };
    let _ = stream.set_nodelay(true);
    let stream = CountedStream { stream, traffic };
    let service = service_fn(move |request| handle_request(request, local_addr, handler.clone()));
    // A client may disconnect at any time; that is no error.
    let _ = hyper::server::conn::http1::Builder::new()
        .serve_connection(TokioIo::new(stream), service)
        .await;
}

async fn handle_request<H, F>(
    request: Request<Incoming>,
    local_addr: SocketAddr,
    handler: H,
) -> Result<Response<Full<Bytes>>, Infallible>
where
    H: Fn(IncomingRequest) -> F,
    F: Future<Output = Reply>,
{
    let (head, body) = request.into_parts();
    let body = match body.collect().await {
        Ok(body) => body.to_bytes(),
        Err(_) => Bytes::new(),
    };
    let request = IncomingRequest {
        method: head.method,
        path: head.uri.path().to_owned(),
        query: head.uri.query().unwrap_or_default().to_owned(),
        body,
        local_addr,
    };
    let reply = handler(request).await;
    let mut response = Response::new(Full::new(Bytes::from(reply.body)));
    *response.status_mut() = http::StatusCode::from_u16(reply.status).unwrap_or_default();
    let json = http::HeaderValue::from_static("application/json");
    response
        .headers_mut()
        .insert(http::header::CONTENT_TYPE, json);
    Ok(response)
}

/// Connection to a server, opened on demand and kept until it fails.
pub struct Connection {
    address: SocketAddr,
    traffic: Arc<Traffic>,
    open: Option<OpenConnection>,
}

struct OpenConnection {
    sender: SendRequest<Full<Bytes>>,
    driver: JoinHandle<()>,
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl Connection {
    /// Creates a connection that is not yet open.
    pub fn new(address: SocketAddr, traffic: Arc<Traffic>) -> Self {
        Self {
            address,
            traffic,
            open: None,
        }
    }

    /// Returns the server's address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends a request and returns status and body; closes the connection if there is no response.
    pub async fn call(
        &mut self,
        method: Method,
        path: &str,
        body: Bytes,
        timeout: Duration,
    ) -> Option<(u16, Bytes)> {
        let exchange = self.exchange(method, path, body);
        let response = tokio::time::timeout(timeout, exchange).await.ok().flatten();
        if response.is_none() {
            self.open = None;
        }
        response
    }

    async fn exchange(&mut self, method: Method, path: &str, body: Bytes) -> Option<(u16, Bytes)> {
        let address = self.address;
        let sender = self.sender().await?;
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header(http::header::HOST, address.to_string())
            .header(http::header::CONTENT_TYPE, "application/json")
            .body(Full::new(body))
            .ok()?;
        let response = sender.send_request(request).await.ok()?;
        let status = response.status().as_u16();
        let body = response.into_body().collect().await.ok()?.to_bytes();
        Some((status, body))
    }

    /// Returns the open connection, or opens a new one.
    async fn sender(&mut self) -> Option<&mut SendRequest<Full<Bytes>>> {
        let is_usable = match &mut self.open {
            Some(open) => open.sender.ready().await.is_ok(),
            None => false,
        };
        if !is_usable {
            self.open = Some(self.connect().await?);
        }
        self.open.as_mut().map(|open| &mut open.sender)
    }

    async fn connect(&self) -> Option<OpenConnection> {
        let stream = TcpStream::connect(self.address).await.ok()?;
        let _ = stream.set_nodelay(true);
        let traffic = self.traffic.clone();
        let stream = TokioIo::new(CountedStream { stream, traffic });
        let (sender, connection) = hyper::client::conn::http1::handshake(stream).await.ok()?;
        let driver = tokio::spawn(async move {
            let _ = connection.await;
        });
        Some(OpenConnection { sender, driver })
    }
}
