//! What becomes of a task that a worker reports and that this leader did not start.

/// What the book says of the task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Book {
    /// No active job lists it: it is over, or never was.
    Unknown,
    /// It waits to be started.
    Waiting,
    /// Another attempt of it has a machine.
    Elsewhere,
    /// Its result is known.
    Done,
}

/// What the worker says of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reported {
    /// It is on the machine, or will be.
    Alive,
    /// It completed.
    Completed,
    /// It ended otherwise.
    Ended,
}

/// What the leader does with a reported task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It is the task's attempt from now on.
    Adopt,
    /// It has no business there.
    Stop,
    /// Its result counts, wherever it was reached, and is forgotten by the worker once stored.
    Finish,
    /// It is of no more use.
    Forget,
}

/// One attempt is adopted where the task waits, so no task has two. What is alive beside
/// that is stopped: an orphan, or one of two reporters of one task. A result always counts.
pub fn verdict(book: Book, reported: Reported) -> Verdict {
    match (reported, book) {
        (Reported::Alive, Book::Waiting) => Verdict::Adopt,
        (Reported::Alive, _) => Verdict::Stop,
        (Reported::Completed, Book::Unknown | Book::Done) => Verdict::Forget,
        (Reported::Completed, _) => Verdict::Finish,
        (Reported::Ended, _) => Verdict::Forget,
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// The rules, each said by itself.
    #[test]
    fn every_case_keeps_the_rules() {
        use {Book::*, Reported::*};
        for book in [Unknown, Waiting, Elsewhere, Done] {
            for reported in [Alive, Completed, Ended] {
                let verdict = verdict(book, reported);
                let what = format!("{book:?} {reported:?} {verdict:?}");
                // Never two attempts of one task, none of a job that is over.
                assert_eq!(
                    verdict == Verdict::Adopt,
                    (book, reported) == (Waiting, Alive)
                );
                // What is alive is either ours or stopped.
                let settled = matches!(verdict, Verdict::Adopt | Verdict::Stop);
                assert_eq!(settled, reported == Alive, "{what}");
                // No result of an active task is lost.
                let wanted = matches!(book, Waiting | Elsewhere) && reported == Completed;
                assert_eq!(verdict == Verdict::Finish, wanted, "{what}");
            }
        }
    }
}
