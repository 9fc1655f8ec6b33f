//! Reads the text of a selector; every error points at the column where it was met.

use std::collections::BTreeSet;

use smol_str::SmolStr;
use snafu::Snafu;

use crate::label_selector::LabelRequirement;
use crate::label_selector::LabelTest;
use crate::label_syntax;
use crate::label_syntax::LabelError;

/// Longest text of a selector in bytes.
pub const MAX_SELECTOR: usize = 4_096;

/// Why a selector cannot be parsed. Columns count characters, from 1.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum SelectorError {
    /// The text has no requirement.
    #[snafu(display("column 1: the selector is empty; write at least one requirement"))]
    Empty,
    /// The text is too long.
    #[snafu(display("column 1: the selector has {len} bytes, more than {MAX_SELECTOR}"))]
    TooLong {
        /// Its length.
        len: usize,
    },
    /// Something else should stand here.
    #[snafu(display("column {column}: expected {expected}, found {found}"))]
    Unexpected {
        /// Where.
        column: usize,
        /// What may stand here.
        expected: &'static str,
        /// What stands here.
        found: String,
    },
    /// A key or a value is not a valid one.
    #[snafu(display("column {column}: {source}"))]
    Label {
        /// Where it begins.
        column: usize,
        /// What is wrong with it.
        source: LabelError,
    },
    /// A set names a value twice, or a selector a requirement.
    #[snafu(display("column {column}: `{text}` stands here for the second time"))]
    Repeated {
        /// Where.
        column: usize,
        /// What.
        text: String,
    },
}

impl SelectorError {
    /// The column it points at, from 1.
    pub fn column(&self) -> usize {
        match self {
            Self::Empty | Self::TooLong { .. } => 1,
            Self::Unexpected { column, .. }
            | Self::Label { column, .. }
            | Self::Repeated { column, .. } => *column,
        }
    }
}

/// One word or sign of a selector.
#[derive(Clone, Debug, PartialEq, Eq)]
enum TokenKind {
    Word(SmolStr),
    Equals,
    Differs,
    Not,
    Comma,
    Open,
    Close,
    End,
}

#[derive(Clone, Debug)]
struct SelectorToken {
    kind: TokenKind,
    column: usize,
}

/// Parses requirements separated by commas.
pub fn parse(text: &str) -> Result<Vec<LabelRequirement>, SelectorError> {
    if text.len() > MAX_SELECTOR {
        return TooLongSnafu { len: text.len() }.fail();
    }
    if text.trim().is_empty() {
        return EmptySnafu.fail();
    }
    let tokens = tokenize(text)?;
    let mut parser = SelectorParser { tokens, next: 0 };
    parser.requirements()
}

fn tokenize(text: &str) -> Result<Vec<SelectorToken>, SelectorError> {
    let mut tokens = Vec::new();
    let mut chars = text.chars().zip(1..).peekable();
    let mut last_column = 0;
    while let Some((first, column)) = chars.next() {
        last_column = column;
        let kind = match first {
            space if space.is_whitespace() => continue,
            ',' => TokenKind::Comma,
            '(' => TokenKind::Open,
            ')' => TokenKind::Close,
            '=' => {
                chars.next_if(|(next, _column)| *next == '=');
                TokenKind::Equals
            }
            '!' if chars.next_if(|(next, _column)| *next == '=').is_some() => TokenKind::Differs,
            '!' => TokenKind::Not,
            other if label_syntax::is_label_char(other) => {
                let mut word = String::from(other);
                while let Some((next, _column)) =
                    chars.next_if(|(next, _column)| label_syntax::is_label_char(*next))
                {
                    word.push(next);
                }
                TokenKind::Word(word.into())
            }
            other => {
                return UnexpectedSnafu {
                    column,
                    expected: "a key, a value or one of `= == != ! , ( )`",
                    found: format!("`{}`", other.escape_default()),
                }
                .fail();
            }
        };
        tokens.push(SelectorToken { kind, column });
    }
    tokens.push(SelectorToken {
        kind: TokenKind::End,
        column: last_column + 1,
    });
    Ok(tokens)
}

/// Reads tokens in order. Invariant: the last token is `End` and is never passed.
struct SelectorParser {
    tokens: Vec<SelectorToken>,
    next: usize,
}

impl SelectorParser {
    fn requirements(&mut self) -> Result<Vec<LabelRequirement>, SelectorError> {
        let mut requirements = Vec::new();
        loop {
            let column = self.peek().column;
            let requirement = self.requirement()?;
            if requirements.contains(&requirement) {
                let text = requirement.to_string();
                return RepeatedSnafu { column, text }.fail();
            }
            requirements.push(requirement);
            let token = self.take();
            match token.kind {
                TokenKind::End => return Ok(requirements),
                TokenKind::Comma => {}
                _ => return unexpected(&token, "`,` or the end"),
            }
        }
    }

    fn requirement(&mut self) -> Result<LabelRequirement, SelectorError> {
        if self.peek().kind == TokenKind::Not {
            self.take();
            let key = self.key()?;
            let test = LabelTest::Absent;
            return Ok(LabelRequirement { key, test });
        }
        let key = self.key()?;
        let test = self.test()?;
        Ok(LabelRequirement { key, test })
    }

    fn test(&mut self) -> Result<LabelTest, SelectorError> {
        let token = self.peek().clone();
        match &token.kind {
            TokenKind::Comma | TokenKind::End => Ok(LabelTest::Exists),
            TokenKind::Equals => {
                self.take();
                self.value().map(LabelTest::Equals)
            }
            TokenKind::Differs => {
                self.take();
                self.value().map(LabelTest::Differs)
            }
            TokenKind::Word(word) if word == "in" => {
                self.take();
                self.values().map(LabelTest::In)
            }
            TokenKind::Word(word) if word == "notin" => {
                self.take();
                self.values().map(LabelTest::NotIn)
            }
            _ => unexpected(&token, "`=`, `!=`, `in`, `notin`, `,` or the end"),
        }
    }

    fn values(&mut self) -> Result<BTreeSet<SmolStr>, SelectorError> {
        let token = self.take();
        if token.kind != TokenKind::Open {
            return unexpected(&token, "`(`");
        }
        let mut values = BTreeSet::new();
        loop {
            let column = self.peek().column;
            let value = self.value()?;
            if !values.insert(value.clone()) {
                let text = value.to_string();
                return RepeatedSnafu { column, text }.fail();
            }
            let token = self.take();
            match token.kind {
                TokenKind::Close => return Ok(values),
                TokenKind::Comma => {}
                _ => return unexpected(&token, "`,` or `)`"),
            }
        }
    }

    fn key(&mut self) -> Result<SmolStr, SelectorError> {
        let token = self.take();
        let TokenKind::Word(word) = &token.kind else {
            return unexpected(&token, "a label's key");
        };
        checked(label_syntax::check_key(word), token.column)?;
        Ok(word.clone())
    }

    fn value(&mut self) -> Result<SmolStr, SelectorError> {
        let token = self.take();
        let TokenKind::Word(word) = &token.kind else {
            return unexpected(&token, "a label's value");
        };
        checked(label_syntax::check_value(word), token.column)?;
        Ok(word.clone())
    }

    fn peek(&self) -> &SelectorToken {
        &self.tokens[self.next]
    }

    fn take(&mut self) -> SelectorToken {
        let token = self.tokens[self.next].clone();
        if token.kind != TokenKind::End {
            self.next += 1;
        }
        token
    }
}

fn checked(result: Result<(), LabelError>, column: usize) -> Result<(), SelectorError> {
    result.map_err(|source| SelectorError::Label { column, source })
}

fn unexpected<T>(token: &SelectorToken, expected: &'static str) -> Result<T, SelectorError> {
    let found = match &token.kind {
        TokenKind::Word(word) => format!("`{word}`"),
        TokenKind::Equals => "`=`".to_owned(),
        TokenKind::Differs => "`!=`".to_owned(),
        TokenKind::Not => "`!`".to_owned(),
        TokenKind::Comma => "`,`".to_owned(),
        TokenKind::Open => "`(`".to_owned(),
        TokenKind::Close => "`)`".to_owned(),
        TokenKind::End => "the end".to_owned(),
    };
    let column = token.column;
    UnexpectedSnafu {
        column,
        expected,
        found,
    }
    .fail()
}
