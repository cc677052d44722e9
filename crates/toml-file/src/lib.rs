//! Operators' TOML files: read, and what is wrong with them in one line.

#![warn(missing_docs, unreachable_pub)]

use std::fmt;

use serde::de::DeserializeOwned;

/// Not a file of the form that was expected.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Wrong {
    /// The line of the file, from 1.
    pub line: usize,
    /// Without line breaks.
    pub message: String,
}

impl fmt::Display for Wrong {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}: {}", self.line, self.message)
    }
}

/// Reads a file's text into `T`, or tells the line that does not fit.
pub fn parse<T: DeserializeOwned>(text: &str) -> Result<T, Wrong> {
    toml::from_str(text).map_err(|error| {
        let start = error.span().map_or(0, |span| span.start.min(text.len()));
        Wrong {
            line: text[..start].matches('\n').count() + 1,
            message: error.message().replace('\n', " "),
        }
    })
}
