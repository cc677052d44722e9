//! How many orders of one kind may be without an answer: few at first, more while answers
//! come, fewer again when they don't.
//!
//! A leader that has just begun does not know what the one before it ordered. If many
//! leaders follow one another, each sends at most what is answered.

/// Orders under way at a time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Pace {
    now: usize,
    most: usize,
}

/// How an order ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// Carried out.
    Done,
    /// Refused for good: nothing is learned about how many may be asked for.
    Refused,
    /// No answer, or not now.
    Unclear,
}

impl Pace {
    /// Begins with one order; never more than `most` at a time, and never none.
    pub fn new(most: usize) -> Self {
        let most = most.max(1);
        Self { now: 1, most }
    }

    /// How many may be under way.
    pub fn window(&self) -> usize {
        self.now
    }

    /// Adapts the window to how an order ended.
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
