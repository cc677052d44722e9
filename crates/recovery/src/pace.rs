//! Adaptive limit on outstanding requests of one kind: grows while requests are answered and
//! shrinks when they are not.
//!
//! A new leader does not know what the previous one requested. With many failovers in a row,
//! each leader sends at most as many requests as are answered.

/// Adaptive limit on the requests that are outstanding at a time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Pace {
    now: usize,
    most: usize,
}

/// The outcome of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The request was carried out.
    Done,
    /// Permanently refused: no information about the capacity for requests.
    Refused,
    /// No answer, or a temporary refusal.
    Unclear,
}

impl Pace {
    /// Starts with one request; the limit stays between one and `most`.
    pub fn new(most: usize) -> Self {
        let most = most.max(1);
        Self { now: 1, most }
    }

    /// Returns the number of requests that may be outstanding.
    pub fn window(&self) -> usize {
        self.now
    }

    /// Adapts the window to the outcome of a request.
    pub fn step(&mut self, outcome: Outcome) {
        self.now = match outcome {
            Outcome::Done => (self.now * 2).min(self.most),
            Outcome::Refused => self.now,
            Outcome::Unclear => (self.now / 2).max(1),
        };
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn it_grows_with_answers_and_never_leaves_its_bounds() {
        let mut pace = Pace::new(6);
        let seen: Vec<usize> = [
            Outcome::Done,
            Outcome::Refused,
            Outcome::Done,
            Outcome::Done,
        ]
        .into_iter()
        .map(|outcome| {
            pace.step(outcome);
            pace.window()
        })
        .collect();
        assert_eq!(seen, [2, 2, 4, 6]);
        for _ in 0..9 {
            pace.step(Outcome::Unclear);
        }
        assert_eq!(pace.window(), 1);
        assert_eq!(Pace::new(0).window(), 1);
    }
}
