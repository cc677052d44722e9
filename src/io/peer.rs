//! Lines between nodes. Each node dials every other one and only writes on the
//! connections it dialled; what can't be sent now is dropped, since whoever
//! waits for an answer has a time limit.

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

/// Bytes of the lines that wait for one peer, and so of the longest line: what a leader of
/// 6,000 machines knows of them is about a megabyte.
const QUEUED_BYTES_MOST: usize = 4 << 20;
const LINE_MOST: u64 = QUEUED_BYTES_MOST as u64;
const RETRY: Duration = Duration::from_millis(300);
const WITHIN: Duration = Duration::from_secs(1);

pub struct Peers {
    from: String,
    queues: Vec<(String, Queue)>,
}

/// Lines that wait for one peer, bounded by their number and their bytes.
struct Queue {
    lines: Sender<String>,
    bytes: Rc<Cell<usize>>,
}

impl Queue {
    /// Drops the line where there is no room for it.
    fn push(&self, line: String) {
        let length = line.len();
        let bytes = self.bytes.get() + length;
        if bytes <= QUEUED_BYTES_MOST && self.lines.try_send(line).is_ok() {
            self.bytes.set(bytes);
        }
    }
}

/// The other end of a queue.
struct Queued {
    lines: Receiver<String>,
    bytes: Rc<Cell<usize>>,
}

impl Queued {
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

/// A queue for so many lines.
fn queue(lines_most: usize) -> (Queue, Queued) {
    let (lines, received) = channel(lines_most);
    let bytes = Rc::new(Cell::new(0));
    let queued = Queued {
        lines: received,
        bytes: bytes.clone(),
    };
    (Queue { lines, bytes }, queued)
}

impl Peers {
    /// Dials every peer; so many lines may wait for each.
    pub fn new(settings: &Settings, lines_most: usize) -> Self {
        let queues = settings
            .peers
            .iter()
            .map(|peer| {
                let (queue, lines) = queue(lines_most);
                tokio::task::spawn_local(dial(peer.addr, lines));
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
            // A full queue means that the peer can't be reached.
            queue.push(text);
        }
    }
}

async fn dial(addr: SocketAddr, mut lines: Queued) {
    loop {
        if let Ok(Ok(stream)) = timeout(WITHIN, TcpStream::connect(addr)).await {
            let _ = stream.set_nodelay(true);
            if talk(stream, &mut lines).await.is_none() {
                return;
            }
        }
        // Lines that waited meanwhile are too old to be of use.
        lines.clear();
        sleep(RETRY).await;
    }
}

/// Writes lines until the connection fails; none once there will be no more.
async fn talk(mut stream: TcpStream, lines: &mut Queued) -> Option<()> {
    let mut byte = [0u8; 1];
    loop {
        let line = tokio::select! {
            biased;
            // Nothing is ever sent back: this ends when the peer does.
            _ = stream.read(&mut byte) => return Some(()),
            line = lines.next() => line?,
        };
        match timeout(WITHIN, stream.write_all(line.as_bytes())).await {
            Ok(Ok(())) => {}
            _ => return Some(()),
        }
    }
}

pub async fn listen(listener: TcpListener, most: usize, inputs: UnboundedSender<Input>) {
    let room = std::sync::Arc::new(tokio::sync::Semaphore::new(most));
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(RETRY).await;
            continue;
        };
        let Ok(permit) = room.clone().try_acquire_owned() else {
            continue;
        };
        let inputs = inputs.clone();
        tokio::task::spawn_local(async move {
            let _permit = permit;
            read_lines(stream, inputs).await;
        });
    }
}

/// A line of which only the sender is understood.
#[derive(serde::Deserialize)]
struct Unknown {
    from: String,
}

async fn read_lines(stream: TcpStream, inputs: UnboundedSender<Input>) {
    let mut reader = BufReader::new(stream);
    let mut text = Vec::new();
    let mut told = false;
    loop {
        text.clear();
        let mut limited = (&mut reader).take(LINE_MOST);
        match limited.read_until(b'\n', &mut text).await {
            Ok(n) if n > 0 && text.last() == Some(&b'\n') => {}
            _ => return,
        }
        let Ok(line) = serde_json::from_slice::<Line>(&text) else {
            // A newer build may say what this one does not know: the rest of what it says
            // is still heard. What is no JSON comes from something else.
            match serde_json::from_slice::<Unknown>(&text) {
                Ok(unknown) if !told => {
                    told = true;
                    info!(from = %unknown.from, "a line of another build, passed over");
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
