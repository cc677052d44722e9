//! HTTP server for users, workers and the load balancer.

use std::{
    io::ErrorKind,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use poem::{
    Body, Endpoint, EndpointExt, Request, Response, Route, Server, get,
    http::{StatusCode, header},
    listener::TcpAcceptor,
    post,
};
use tokio::{
    net::{TcpListener, TcpSocket},
    sync::{Semaphore, mpsc, oneshot},
};
use tracing::info;

use super::IncomingRequest;
use crate::{
    core::{Answer, Input, RequestId, job::JobId, maintenance, rollout::RolloutAction},
    wire,
};

const MAX_BODY_BYTES: usize = 64 * 1024;
/// Time limit for an answer of the core, longer than the timeout of any call it makes.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(4);
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Time limit for binding an address, which may still be in use after a quick restart.
const BIND_TIMEOUT: Duration = Duration::from_secs(10);
const BIND_RETRY_INTERVAL: Duration = Duration::from_millis(20);
/// Bounds on the length of the accept queue.
const BACKLOG_BOUNDS: std::ops::RangeInclusive<usize> = 128..=8192;

/// Binds a listener. All workers of a lost node reconnect at the same time, so the length of
/// the accept queue follows the limit on `sockets`.
pub async fn bind(addr: SocketAddr, sockets: usize) -> std::io::Result<TcpListener> {
    let backlog = sockets.clamp(*BACKLOG_BOUNDS.start(), *BACKLOG_BOUNDS.end()) as u32;
    let since = Instant::now();
    let mut is_logged = false;
    loop {
        let error = match listen(addr, backlog) {
            Ok(listener) => return Ok(listener),
            Err(error) => error,
        };
        if error.kind() != ErrorKind::AddrInUse || since.elapsed() > BIND_TIMEOUT {
            let message = format!("cannot listen on {addr}: {error}");
            return Err(std::io::Error::new(error.kind(), message));
        }
        if !is_logged {
            is_logged = true;
            info!(%addr, within = ?BIND_TIMEOUT, "address in use; retrying");
        }
        tokio::time::sleep(BIND_RETRY_INTERVAL).await;
    }
}

fn listen(addr: SocketAddr, backlog: u32) -> std::io::Result<TcpListener> {
    let socket = match addr {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    // Closing connections of a previous process must not block the address.
    socket.set_reuseaddr(true)?;
    socket.bind(addr)?;
    socket.listen(backlog)
}

#[derive(Clone)]
struct Api {
    requests: mpsc::Sender<IncomingRequest>,
    permits: Arc<Semaphore>,
    /// Whether licences are configured.
    licensed: bool,
}

/// Serves a limited number of concurrent requests; others are answered with a retry delay.
pub async fn serve(
    listener: TcpListener,
    requests: mpsc::Sender<IncomingRequest>,
    licensed: bool,
    max_requests: usize,
) -> std::io::Result<()> {
    let acceptor = TcpAcceptor::from_tokio(listener)?;
    let api = Api {
        requests,
        permits: Arc::new(Semaphore::new(max_requests)),
        licensed,
    };
    Server::new_with_acceptor(acceptor)
        .idle_timeout(IDLE_TIMEOUT)
        .run(routes(api))
        .await
}

fn routes(api: Api) -> impl Endpoint {
    let endpoint = |handler: Handler| ApiEndpoint {
        api: api.clone(),
        handler,
    };
    Route::new()
        .at("/work", post(endpoint(Handler::Submit)))
        .at("/work/:id", get(endpoint(Handler::Status)))
        .at("/work/:id/withdraw", post(endpoint(Handler::Withdraw)))
        .at("/licences", get(endpoint(Handler::Licences)))
        .at("/rollout", get(endpoint(Handler::Rollout)))
        .at("/rollout/:order", post(endpoint(Handler::Order)))
        .at("/rollout/:order/:what", post(endpoint(Handler::Order)))
        .at("/drains", get(endpoint(Handler::Drains)))
        .at("/drains/:order", post(endpoint(Handler::Drain)))
        .at("/ready", get(endpoint(Handler::Ready)))
        .at("/checkin", post(endpoint(Handler::Report)))
        .catch_all_error(|error| async move {
            json_response(error.status(), wire::user::error_body(&error.to_string()))
        })
}

#[derive(Clone, Copy)]
enum Handler {
    Submit,
    Status,
    Withdraw,
    Ready,
    Report,
    Licences,
    Rollout,
    Order,
    Drains,
    Drain,
}

struct ApiEndpoint {
    api: Api,
    handler: Handler,
}

impl Endpoint for ApiEndpoint {
    type Output = Response;

    async fn call(&self, request: Request) -> poem::Result<Response> {
        let Ok(_permit) = self.api.permits.try_acquire() else {
            return Ok(retry_later(Duration::from_secs(1)));
        };
        Ok(match self.handler {
            Handler::Submit => self.submit(request).await,
            Handler::Report => self.report(request).await,
            Handler::Status => {
                self.job_request(&request, |request, id| Input::Status { request, id })
                    .await
            }
            Handler::Withdraw => {
                self.job_request(&request, |request, id| Input::Withdraw { request, id })
                    .await
            }
            Handler::Ready => self.api.dispatch(|request| Input::Ready { request }).await,
            Handler::Licences => {
                self.api
                    .dispatch(|request| Input::Licences { request })
                    .await
            }
            Handler::Rollout => self.rollout(RolloutAction::Status).await,
            Handler::Drains => {
                self.maintenance(maintenance::MaintenanceRequest::Status)
                    .await
            }
            Handler::Drain => {
                let order = request.path_params::<String>().unwrap_or_default();
                match read_body(request)
                    .await
                    .map(|body| wire::user::parse_drain(&order, &body))
                {
                    Ok(Ok(action)) => self.maintenance(action).await,
                    Ok(Err(message)) => {
                        json_response(StatusCode::BAD_REQUEST, wire::user::error_body(&message))
                    }
                    Err(response) => response,
                }
            }
            Handler::Order => {
                let path = request.uri().path();
                match wire::user::parse_order(path.trim_start_matches("/rollout/")) {
                    Ok(action) => self.rollout(action).await,
                    Err(message) => {
                        json_response(StatusCode::BAD_REQUEST, wire::user::error_body(&message))
                    }
                }
            }
        })
    }
}

impl ApiEndpoint {
    async fn submit(&self, request: Request) -> Response {
        let body = match read_body(request).await {
            Ok(body) => body,
            Err(response) => return response,
        };
        match wire::user::parse_submission(&body, self.api.licensed) {
            Ok(spec) => {
                let spec = Arc::new(spec);
                self.api
                    .dispatch(move |request| Input::Submit { request, spec })
                    .await
            }
            Err(message) => {
                json_response(StatusCode::BAD_REQUEST, wire::user::error_body(&message))
            }
        }
    }

    async fn maintenance(&self, action: maintenance::MaintenanceRequest) -> Response {
        self.api
            .dispatch(move |request| Input::Maintenance { request, action })
            .await
    }

    async fn rollout(&self, action: RolloutAction) -> Response {
        self.api
            .dispatch(move |request| Input::Rollout { request, action })
            .await
    }

    async fn report(&self, request: Request) -> Response {
        let body = match read_body(request).await {
            Ok(body) => body,
            Err(response) => return response,
        };
        match wire::worker::parse_report(&body) {
            Ok(report) => {
                self.api
                    .dispatch(move |request| Input::Report { request, report })
                    .await
            }
            Err(message) => {
                json_response(StatusCode::BAD_REQUEST, wire::user::error_body(&message))
            }
        }
    }

    async fn job_request(
        &self,
        request: &Request,
        into_input: fn(RequestId, JobId) -> Input,
    ) -> Response {
        // A job with an invalid ID was never accepted.
        match JobId::parse(&request.path_params::<String>().unwrap_or_default()) {
            Some(id) => {
                self.api
                    .dispatch(move |request| into_input(request, id))
                    .await
            }
            None => answer_response(Answer::NotFound),
        }
    }
}

impl Api {
    /// Passes a request to the core and returns its answer as a response.
    async fn dispatch(
        &self,
        into_input: impl FnOnce(RequestId) -> Input + Send + 'static,
    ) -> Response {
        let (answer, answered) = oneshot::channel();
        let request = IncomingRequest {
            into_input: Box::new(into_input),
            answer,
        };
        if self.requests.try_send(request).is_err() {
            return retry_later(Duration::from_secs(1));
        }
        match tokio::time::timeout(ANSWER_TIMEOUT, answered).await {
            Ok(Ok(answer)) => answer_response(answer),
            _ => retry_later(Duration::from_secs(1)),
        }
    }
}

/// Reads the body, unless it is larger than the protocol allows.
async fn read_body(request: Request) -> Result<Vec<u8>, Response> {
    let too_large = || {
        json_response(
            StatusCode::PAYLOAD_TOO_LARGE,
            wire::user::error_body("body too large"),
        )
    };
    let length = request
        .headers()
        .get(header::CONTENT_LENGTH)
        .and_then(|v| v.to_str().ok()?.parse::<usize>().ok());
    if length.is_some_and(|length| length > MAX_BODY_BYTES) {
        return Err(too_large());
    }
    let body: Body = request.into_body();
    match body.into_bytes_limit(MAX_BODY_BYTES).await {
        Ok(bytes) => Ok(bytes.to_vec()),
        Err(_) => Err(too_large()),
    }
}

fn json_response(status: StatusCode, body: String) -> Response {
    Response::builder()
        .status(status)
        .content_type("application/json")
        .body(body)
}

fn retry_later(retry: Duration) -> Response {
    let mut response = json_response(
        StatusCode::SERVICE_UNAVAILABLE,
        wire::user::error_body("try again later"),
    );
    let seconds = retry.as_secs_f64().ceil().max(1.0) as u64;
    response
        .headers_mut()
        .insert(header::RETRY_AFTER, seconds.into());
    response
}

fn answer_response(answer: Answer) -> Response {
    use crate::core::job::JobState;
    match answer {
        Answer::Accepted(id) => json_response(
            StatusCode::CREATED,
            wire::user::job_body(&id, JobState::Pending, None),
        ),
        Answer::Known(id, state) => {
            json_response(StatusCode::OK, wire::user::job_body(&id, state, None))
        }
        Answer::Status(id, state, done, running) => json_response(
            StatusCode::OK,
            wire::user::job_body(&id, state, Some((done, running))),
        ),
        Answer::Waiting(id, waits_on) => {
            json_response(StatusCode::OK, wire::user::waiting_body(&id, &waits_on))
        }
        Answer::NotFound => {
            json_response(StatusCode::NOT_FOUND, wire::user::error_body("no such job"))
        }
        Answer::Impossible(reason) => json_response(
            StatusCode::UNPROCESSABLE_ENTITY,
            wire::user::error_body(&reason),
        ),
        Answer::Licences(view, age) => {
            json_response(StatusCode::OK, wire::user::licences_body(&view, age))
        }
        Answer::Rollout(status) => json_response(StatusCode::OK, wire::user::rollout_body(&status)),
        Answer::Drains(machines) => {
            json_response(StatusCode::OK, wire::user::drains_body(&machines))
        }
        Answer::Later { retry } => retry_later(retry),
        Answer::Ready(true) => json_response(StatusCode::OK, "{}".into()),
        Answer::Ready(false) => retry_later(Duration::from_secs(1)),
        Answer::Commands { token, commands } => json_response(
            StatusCode::OK,
            wire::worker::commands_body(token, None, &commands),
        ),
        Answer::Redirect(node) => json_response(
            StatusCode::MISDIRECTED_REQUEST,
            wire::worker::redirect_body(node.as_deref()),
        ),
    }
}
