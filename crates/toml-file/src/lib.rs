//! Parser of TOML configuration files with one-line errors.

#![warn(missing_docs, unreachable_pub)]

use std::fmt;

use serde::de::DeserializeOwned;

/// The file does not parse as the expected type.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ParseError {
    /// Line in the file, starting at 1.
    pub line: usize,
    /// Error message without line breaks.
    pub message: String,
}

impl fmt::Display for ParseError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}: {}", self.line, self.message)
    }
}

/// Parses the text of a file as `T`; an error names the line.
pub fn parse<T: DeserializeOwned>(text: &str) -> Result<T, ParseError> {
    toml::from_str(text).map_err(|error| {
        let start = error.span().map_or(0, |span| span.start.min(text.len()));
        ParseError {
            line: text[..start].matches('\n').count() + 1,
            message: error.message().replace('\n', " "),
        }
    })
}
