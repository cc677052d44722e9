//! Log lines about the commands that workers are sent: under which token and for which session, what
//! was answered, and which reported attempts this leader can't account for.

use tracing::{debug, warn};

use super::DirectCommands;
use crate::core::machine::{AttemptKey, Command, DirectReply, MachineId, TaskPhase};

/// Numbers of commands by kind.
#[derive(Default)]
struct CommandNumbers {
    starts: usize,
    stops: usize,
    forgets: usize,
}

impl CommandNumbers {
    fn of(commands: &[Command]) -> Self {
        let mut numbers = Self::default();
        for command in commands {
            match command {
                Command::Start { .. } => numbers.starts += 1,
                Command::Stop { .. } => numbers.stops += 1,
                Command::Forget { .. } => numbers.forgets += 1,
            }
        }
        numbers
    }
}

/// Counters of direct commands and of their consequences since this leader took over.
#[derive(Debug, Default, Clone, Copy)]
pub struct CommandCounts {
    /// Direct commands sent, empty ones included.
    pub sent: u64,
    /// Direct commands that workers refused.
    pub refused: u64,
    /// Direct commands without an answer.
    pub unanswered: u64,
    /// Raised tokens of single workers.
    pub raised_tokens: u64,
    /// Attempts that a worker reported although this leader had ended them.
    pub revived_attempts: u64,
}

impl CommandCounts {
    /// Counts and logs direct commands as they are sent.
    pub fn record_sent(&mut self, direct: &DirectCommands) {
        self.sent += 1;
        let CommandNumbers {
            starts,
            stops,
            forgets,
        } = CommandNumbers::of(&direct.commands);
        debug!(
            machine = %direct.machine,
            token = direct.token,
            session = direct.session,
            starts,
            stops,
            forgets,
            "sending direct commands"
        );
    }

    /// Counts and logs the outcome of direct commands.
    pub fn record_reply(&mut self, direct: &DirectCommands, reply: &DirectReply) {
        let (outcome, report) = match reply {
            DirectReply::Executed(report) => ("executed", Some(report)),
            DirectReply::Refused(report) => {
                self.refused += 1;
                ("refused", Some(report))
            }
            DirectReply::Unclear => {
                self.unanswered += 1;
                ("unanswered", None)
            }
        };
        debug!(
            machine = %direct.machine,
            token = direct.token,
            session = direct.session,
            outcome,
            seen_token = report.map(|report| report.token),
            seen_session = report.map(|report| report.session),
            seq = report.map(|report| report.seq),
            "direct commands ended"
        );
    }

    /// Records that a worker reported an attempt of this leader that is not known to be there.
    pub fn record_revived(&mut self, machine: &MachineId, key: &AttemptKey, phase: TaskPhase) {
        self.revived_attempts += 1;
        warn!(
            %machine,
            task = %key.0,
            attempt = key.1,
            ?phase,
            "a worker reported an attempt that had ended and was forgotten"
        );
    }

    /// Logs all counters.
    pub fn log(&self) {
        let Self {
            sent,
            refused,
            unanswered,
            raised_tokens,
            revived_attempts,
        } = self;
        debug!(
            sent,
            refused, unanswered, raised_tokens, revived_attempts, "command counters"
        );
    }
}

/// Logs an answer to a report that carries commands.
pub fn log_answer(machine: &MachineId, seq: u64, token: u64, commands: &[Command]) {
    if commands.is_empty() {
        return;
    }
    let CommandNumbers {
        starts,
        stops,
        forgets,
    } = CommandNumbers::of(commands);
    debug!(%machine, seq, token, starts, stops, forgets, "answering a report with commands");
}
