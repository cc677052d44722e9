//! What users, workers and the load balancer reach.

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

use super::Call;
use crate::{
    core::{Answer, Input, RequestId, job::JobId, maintenance, rollout::Ask},
    wire,
};

const BODY_MOST: usize = 64 * 1024;
/// Longer than the core takes to give up on any call of its own.
const ANSWER_WITHIN: Duration = Duration::from_secs(4);
const IDLE_CONNECTION: Duration = Duration::from_secs(60);

/// A process that is started again at once may find its address still taken: it is tried
/// for so long, so often.
const BIND_WITHIN: Duration = Duration::from_secs(10);
const BIND_AGAIN: Duration = Duration::from_millis(20);
/// Connections that may wait to be accepted, of those that a node may have in all.
const BACKLOG: std::ops::RangeInclusive<usize> = 128..=8192;

/// Listens on the address. A fleet that lost its node comes back all at once, so the
/// number of connections that may wait goes by how many `sockets` there may be.
pub async fn bind(addr: SocketAddr, sockets: usize) -> std::io::Result<TcpListener> {
    let backlog = sockets.clamp(*BACKLOG.start(), *BACKLOG.end()) as u32;
    let since = Instant::now();
    let mut told = false;
    loop {
        let error = match listen(addr, backlog) {
            Ok(listener) => return Ok(listener),
            Err(error) => error,
        };
        if error.kind() != ErrorKind::AddrInUse || since.elapsed() > BIND_WITHIN {
            let what = format!("can't listen on {addr}: {error}");
            return Err(std::io::Error::new(error.kind(), what));
        }
        if !told {
            told = true;
            info!(%addr, within = ?BIND_WITHIN, "address in use: tried again");
        }
        tokio::time::sleep(BIND_AGAIN).await;
    }
}

fn listen(addr: SocketAddr, backlog: u32) -> std::io::Result<TcpListener> {
    let socket = match addr {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    // Connections of the former process that are closing don't keep the address.
    socket.set_reuseaddr(true)?;
    socket.bind(addr)?;
    socket.listen(backlog)
}

#[derive(Clone)]
struct Api {
    calls: mpsc::Sender<Call>,
    in_work: Arc<Semaphore>,
    /// Licences are counted here.
    licensed: bool,
}

/// Serves so many requests at a time; others are asked to come again.
pub async fn serve(
    listener: TcpListener,
    calls: mpsc::Sender<Call>,
    licensed: bool,
    requests_most: usize,
) -> std::io::Result<()> {
    let acceptor = TcpAcceptor::from_tokio(listener)?;
    let api = Api {
        calls,
        in_work: Arc::new(Semaphore::new(requests_most)),
        licensed,
    };
    Server::new_with_acceptor(acceptor)
        .idle_timeout(IDLE_CONNECTION)
        .run(routes(api))
        .await
}

fn routes(api: Api) -> impl Endpoint {
    let on = |handle: Handle| Served {
        api: api.clone(),
        handle,
    };
    Route::new()
        .at("/work", post(on(Handle::Submit)))
        .at("/work/:id", get(on(Handle::Status)))
        .at("/work/:id/withdraw", post(on(Handle::Withdraw)))
        .at("/licences", get(on(Handle::Licences)))
        .at("/rollout", get(on(Handle::Rollout)))
        .at("/rollout/:order", post(on(Handle::Order)))
        .at("/rollout/:order/:what", post(on(Handle::Order)))
        .at("/drains", get(on(Handle::Drains)))
        .at("/drains/:order", post(on(Handle::Drain)))
        .at("/ready", get(on(Handle::Ready)))
        .at("/checkin", post(on(Handle::Report)))
        .catch_all_error(|error| async move {
            text(error.status(), wire::user::error_answer(&error.to_string()))
        })
}

#[derive(Clone, Copy)]
enum Handle {
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

struct Served {
    api: Api,
    handle: Handle,
}

impl Endpoint for Served {
    type Output = Response;

    async fn call(&self, request: Request) -> poem::Result<Response> {
        let Ok(_permit) = self.api.in_work.try_acquire() else {
            return Ok(later(Duration::from_secs(1)));
        };
        Ok(match self.handle {
            Handle::Submit => self.submit(request).await,
            Handle::Report => self.report(request).await,
            Handle::Status => {
                self.about(&request, |request, id| Input::Status { request, id })
                    .await
            }
            Handle::Withdraw => {
                self.about(&request, |request, id| Input::Withdraw { request, id })
                    .await
            }
            Handle::Ready => self.api.ask(|request| Input::Ready { request }).await,
            Handle::Licences => self.api.ask(|request| Input::Licences { request }).await,
            Handle::Rollout => self.rollout(Ask::Status).await,
            Handle::Drains => {
                self.maintenance(maintenance::MaintenanceRequest::Status)
                    .await
            }
            Handle::Drain => {
                let order = request.path_params::<String>().unwrap_or_default();
                match read(request)
                    .await
                    .map(|body| wire::user::parse_drain(&order, &body))
                {
                    Ok(Ok(ask)) => self.maintenance(ask).await,
                    Ok(Err(message)) => {
                        text(StatusCode::BAD_REQUEST, wire::user::error_answer(&message))
                    }
                    Err(response) => response,
                }
            }
            Handle::Order => {
                let path = request.uri().path();
                match wire::user::parse_order(path.trim_start_matches("/rollout/")) {
                    Ok(ask) => self.rollout(ask).await,
                    Err(message) => {
                        text(StatusCode::BAD_REQUEST, wire::user::error_answer(&message))
                    }
                }
            }
        })
    }
}

impl Served {
    async fn submit(&self, request: Request) -> Response {
        let body = match read(request).await {
            Ok(body) => body,
            Err(response) => return response,
        };
        match wire::user::parse_submission(&body, self.api.licensed) {
            Ok(spec) => {
                let spec = Arc::new(spec);
                self.api
                    .ask(move |request| Input::Submit { request, spec })
                    .await
            }
            Err(message) => text(StatusCode::BAD_REQUEST, wire::user::error_answer(&message)),
        }
    }

    async fn maintenance(&self, ask: maintenance::MaintenanceRequest) -> Response {
        self.api
            .ask(move |request| Input::Maintenance { request, ask })
            .await
    }

    async fn rollout(&self, ask: Ask) -> Response {
        self.api
            .ask(move |request| Input::Rollout { request, ask })
            .await
    }

    async fn report(&self, request: Request) -> Response {
        let body = match read(request).await {
            Ok(body) => body,
            Err(response) => return response,
        };
        match wire::worker::parse_report(&body) {
            Ok(report) => {
                self.api
                    .ask(move |request| Input::Report { request, report })
                    .await
            }
            Err(message) => text(StatusCode::BAD_REQUEST, wire::user::error_answer(&message)),
        }
    }

    async fn about(&self, request: &Request, make: fn(RequestId, JobId) -> Input) -> Response {
        // An id of another form was never accepted.
        match JobId::parse(&request.path_params::<String>().unwrap_or_default()) {
            Some(id) => self.api.ask(move |request| make(request, id)).await,
            None => respond(Answer::NotFound),
        }
    }
}

impl Api {
    async fn ask(&self, make: impl FnOnce(RequestId) -> Input + Send + 'static) -> Response {
        let (answer, answered) = oneshot::channel();
        let call = Call {
            make: Box::new(make),
            answer,
        };
        if self.calls.try_send(call).is_err() {
            return later(Duration::from_secs(1));
        }
        match tokio::time::timeout(ANSWER_WITHIN, answered).await {
            Ok(Ok(answer)) => respond(answer),
            _ => later(Duration::from_secs(1)),
        }
    }
}

/// The body, unless it is larger than the protocol allows.
async fn read(request: Request) -> Result<Vec<u8>, Response> {
    let too_large = || {
        text(
            StatusCode::PAYLOAD_TOO_LARGE,
            wire::user::error_answer("body too large"),
        )
    };
    let length = request
        .headers()
        .get(header::CONTENT_LENGTH)
        .and_then(|v| v.to_str().ok()?.parse::<usize>().ok());
    if length.is_some_and(|length| length > BODY_MOST) {
        return Err(too_large());
    }
    let body: Body = request.into_body();
    match body.into_bytes_limit(BODY_MOST).await {
        Ok(bytes) => Ok(bytes.to_vec()),
        Err(_) => Err(too_large()),
    }
}

fn text(status: StatusCode, body: String) -> Response {
    Response::builder()
        .status(status)
        .content_type("application/json")
        .body(body)
}

fn later(retry: Duration) -> Response {
    let mut response = text(
        StatusCode::SERVICE_UNAVAILABLE,
        wire::user::error_answer("try again later"),
    );
    let seconds = retry.as_secs_f64().ceil().max(1.0) as u64;
    response
        .headers_mut()
        .insert(header::RETRY_AFTER, seconds.into());
    response
}

fn respond(answer: Answer) -> Response {
    use crate::core::job::JobState;
    match answer {
        Answer::Accepted(id) => text(
            StatusCode::CREATED,
            wire::user::job_answer(&id, JobState::Pending, None),
        ),
        Answer::Known(id, state) => text(StatusCode::OK, wire::user::job_answer(&id, state, None)),
        Answer::Status(id, state, done, running) => text(
            StatusCode::OK,
            wire::user::job_answer(&id, state, Some((done, running))),
        ),
        Answer::Waiting(id, waits_on) => {
            text(StatusCode::OK, wire::user::waiting_answer(&id, &waits_on))
        }
        Answer::NotFound => text(
            StatusCode::NOT_FOUND,
            wire::user::error_answer("no such job"),
        ),
        Answer::Impossible(reason) => text(
            StatusCode::UNPROCESSABLE_ENTITY,
            wire::user::error_answer(&reason),
        ),
        Answer::Licences(view, age) => {
            text(StatusCode::OK, wire::user::licences_answer(&view, age))
        }
        Answer::Rollout(status) => text(StatusCode::OK, wire::user::rollout_answer(&status)),
        Answer::Drains(machines) => text(StatusCode::OK, wire::user::drains_answer(&machines)),
        Answer::Later { retry } => later(retry),
        Answer::Ready(true) => text(StatusCode::OK, "{}".into()),
        Answer::Ready(false) => later(Duration::from_secs(1)),
        Answer::Commands { token, commands } => text(
            StatusCode::OK,
            wire::worker::commands(token, None, &commands),
        ),
        Answer::Redirect(node) => text(
            StatusCode::MISDIRECTED_REQUEST,
            wire::worker::redirect(node.as_deref()),
        ),
    }
}
