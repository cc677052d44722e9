//! Connections between nodes. Each node connects to every other one, and only writes on
//! those connections. Messages to an unreachable or slow peer are dropped, since every sender
//! that waits for an answer has a timeout.

use std::{cell::Cell, net::SocketAddr, rc::Rc, time::Duration};

use tokio::{
    io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader},
    net::{TcpListener, TcpStream},
    sync::mpsc::{Receiver, Sender, UnboundedSender, channel},
    time::{sleep, timeout},
};
use tracing::info;

use crate::{
    core::{Input, peer_message::PeerMessage},
    settings::Settings,
    wire::peer::Line,
};

/// Maximum size of the lines queued for one peer, and so of a single line: a leader's handover
/// snapshot of 6,000 machines takes about a megabyte.
const MAX_QUEUED_BYTES: usize = 4 << 20;
const MAX_LINE_BYTES: u64 = MAX_QUEUED_BYTES as u64;
/// Delay before a failed connection is opened again, or after a failed accept.
const RECONNECT_DELAY: Duration = Duration::from_millis(300);
const IO_TIMEOUT: Duration = Duration::from_secs(1);

pub struct Peers {
    from: String,
    queues: Vec<(String, QueueSender)>,
}

/// Sending end of a peer's line queue, which is bounded by lines and bytes.
struct QueueSender {
    lines: Sender<String>,
    bytes: Rc<Cell<usize>>,
}

impl QueueSender {
    /// Queues a line, or drops it if the queue is full.
    fn push(&self, line: String) {
        let length = line.len();
        let bytes = self.bytes.get() + length;
        if bytes <= MAX_QUEUED_BYTES && self.lines.try_send(line).is_ok() {
            self.bytes.set(bytes);
        }
    }
}

/// Receiving end of a peer's line queue.
struct QueueReceiver {
    lines: Receiver<String>,
    bytes: Rc<Cell<usize>>,
}

impl QueueReceiver {
    async fn next(&mut self) -> Option<String> {
        let line = self.lines.recv().await?;
        self.bytes.set(self.bytes.get() - line.len());
        Some(line)
    }

    fn clear(&mut self) {
        while let Ok(line) = self.lines.try_recv() {
            self.bytes.set(self.bytes.get() - line.len());
        }
    }
}

/// Creates a queue of at most this number of lines.
fn bounded_queue(max_lines: usize) -> (QueueSender, QueueReceiver) {
    let (lines, received) = channel(max_lines);
    let bytes = Rc::new(Cell::new(0));
    let receiver = QueueReceiver {
        lines: received,
        bytes: bytes.clone(),
    };
    (QueueSender { lines, bytes }, receiver)
}

impl Peers {
    /// Starts a connection task for each peer, with a queue of at most this number of lines.
    pub fn new(settings: &Settings, max_lines: usize) -> Self {
        let queues = settings
            .peers
            .iter()
            .map(|peer| {
                let (queue, lines) = bounded_queue(max_lines);
                tokio::task::spawn_local(connect_loop(peer.addr, lines));
                (peer.node.clone(), queue)
            })
            .collect();
        Self {
            from: settings.node.clone(),
            queues,
        }
    }

    pub fn send(&self, to: &str, message: PeerMessage) {
        let line = Line {
            from: self.from.clone(),
            message,
        };
        if let Some((_, queue)) = self.queues.iter().find(|(node, _)| node == to)
            && let Ok(mut text) = serde_json::to_string(&line)
        {
            text.push('\n');
            // The queue is full only if the peer is unreachable, and then the line is dropped.
            queue.push(text);
        }
    }
}

async fn connect_loop(addr: SocketAddr, mut lines: QueueReceiver) {
    loop {
        if let Ok(Ok(stream)) = timeout(IO_TIMEOUT, TcpStream::connect(addr)).await {
            let _ = stream.set_nodelay(true);
            if write_lines(stream, &mut lines).await.is_none() {
                return;
            }
        }
        // Lines queued while the peer was unreachable are outdated.
        lines.clear();
        sleep(RECONNECT_DELAY).await;
    }
}

/// Writes lines until the connection fails. Returns `None` once the queue is closed.
async fn write_lines(mut stream: TcpStream, lines: &mut QueueReceiver) -> Option<()> {
    let mut byte = [0u8; 1];
    loop {
        let line = tokio::select! {
            biased;
            // The peer never sends anything, so the read returns when the connection closes.
            _ = stream.read(&mut byte) => return Some(()),
            line = lines.next() => line?,
        };
        match timeout(IO_TIMEOUT, stream.write_all(line.as_bytes())).await {
            Ok(Ok(())) => {}
            _ => return Some(()),
        }
    }
}

pub async fn listen(listener: TcpListener, max_connections: usize, inputs: UnboundedSender<Input>) {
    let permits = std::sync::Arc::new(tokio::sync::Semaphore::new(max_connections));
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(RECONNECT_DELAY).await;
            continue;
        };
        let Ok(permit) = permits.clone().try_acquire_owned() else {
            continue;
        };
        let inputs = inputs.clone();
        tokio::task::spawn_local(async move {
            let _permit = permit;
            read_lines(stream, inputs).await;
        });
    }
}

/// Line whose message has an unknown format.
#[derive(serde::Deserialize)]
struct UnknownLine {
    from: String,
}

async fn read_lines(stream: TcpStream, inputs: UnboundedSender<Input>) {
    let mut reader = BufReader::new(stream);
    let mut text = Vec::new();
    let mut is_logged = false;
    loop {
        text.clear();
        let mut limited = (&mut reader).take(MAX_LINE_BYTES);
        match limited.read_until(b'\n', &mut text).await {
            Ok(n) if n > 0 && text.last() == Some(&b'\n') => {}
            _ => return,
        }
        let Ok(line) = serde_json::from_slice::<Line>(&text) else {
            // A newer build may send messages that this one does not know: they are ignored,
            // and the connection is kept. Anything but JSON does not come from a node.
            match serde_json::from_slice::<UnknownLine>(&text) {
                Ok(unknown) if !is_logged => {
                    is_logged = true;
                    info!(from = %unknown.from, "ignoring messages of an unknown type");
                }
                Ok(_) => {}
                Err(_) => return,
            }
            continue;
        };
        let input = Input::Peer {
            from: line.from,
            message: line.message,
        };
        if inputs.send(input).is_err() {
            return;
        }
    }
}
