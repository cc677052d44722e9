//! Adaptive limit on outstanding requests of one kind: grows while requests are answered and
//! shrinks when they are not.
//!
//! A new leader does not know what the previous one requested. With many failovers in a row,
//! each leader's outstanding requests stay limited by those that are answered.

/// Adaptive limit on the requests that are outstanding at a time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestWindow {
    current: usize,
    max: usize,
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

impl RequestWindow {
    /// Starts with one request; the limit stays between one and `max`.
    pub fn new(max: usize) -> Self {
        let max = max.max(1);
        Self { current: 1, max }
    }

    /// Returns the number of requests that may be outstanding.
    pub fn window(&self) -> usize {
        self.current
    }

    /// Adapts the window to the outcome of a request.
    pub fn step(&mut self, outcome: Outcome) {
        self.current = match outcome {
            Outcome::Done => (self.current * 2).min(self.max),
            Outcome::Refused => self.current,
            Outcome::Unclear => (self.current / 2).max(1),
        };
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn window_grows_with_answers_within_its_bounds() {
        let mut window = RequestWindow::new(6);
        let windows: Vec<usize> = [
            Outcome::Done,
            Outcome::Refused,
            Outcome::Done,
            Outcome::Done,
        ]
        .into_iter()
        .map(|outcome| {
            window.step(outcome);
            window.window()
        })
        .collect();
        assert_eq!(windows, [2, 2, 4, 6]);
        for _ in 0..9 {
            window.step(Outcome::Unclear);
        }
        assert_eq!(window.window(), 1);
        assert_eq!(RequestWindow::new(0).window(), 1);
    }
}
