//! Parses the text of a selector; every error names its column.

use std::collections::BTreeSet;

use smol_str::SmolStr;
use snafu::Snafu;

use crate::label_selector::LabelCondition;
use crate::label_selector::LabelRequirement;
use crate::label_syntax;
use crate::label_syntax::LabelError;

/// Maximum length of a selector's text.
pub const MAX_SELECTOR_BYTES: usize = 4_096;

/// Why a selector cannot be parsed. Columns count characters, from 1.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum SelectorError {
    /// The text has no requirement.
    #[snafu(display("column 1: the selector is empty; write at least one requirement"))]
    Empty,
    /// The text is too long.
    #[snafu(display("column 1: the selector has {len} bytes, more than {MAX_SELECTOR_BYTES}"))]
    TooLong {
        /// The length of the text in bytes.
        len: usize,
    },
    /// Another token or character is expected here.
    #[snafu(display("column {column}: expected {expected}, found {found}"))]
    Unexpected {
        /// The column.
        column: usize,
        /// What is expected.
        expected: &'static str,
        /// What was found instead.
        found: String,
    },
    /// A key or a value is invalid.
    #[snafu(display("column {column}: {source}"))]
    Label {
        /// The column of its first character.
        column: usize,
        /// The error in its syntax.
        source: LabelError,
    },
    /// A set repeats a value, or a selector repeats a requirement.
    #[snafu(display("column {column}: `{text}` stands here for the second time"))]
    Repeated {
        /// The column.
        column: usize,
        /// The repeated value or requirement.
        text: String,
    },
}

impl SelectorError {
    /// The column of the error, from 1.
    pub fn column(&self) -> usize {
        match self {
            Self::Empty | Self::TooLong { .. } => 1,
            Self::Unexpected { column, .. }
            | Self::Label { column, .. }
            | Self::Repeated { column, .. } => *column,
        }
    }
}

/// A token of a selector.
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
    if text.len() > MAX_SELECTOR_BYTES {
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

/// Reads tokens in order. Invariant: the last token is `End`, and `next` never goes beyond it.
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
            let token = self.advance();
            match token.kind {
                TokenKind::End => return Ok(requirements),
                TokenKind::Comma => {}
                _ => return unexpected(&token, "`,` or the end"),
            }
        }
    }

    fn requirement(&mut self) -> Result<LabelRequirement, SelectorError> {
        if self.peek().kind == TokenKind::Not {
            self.advance();
            let key = self.key()?;
            let condition = LabelCondition::Absent;
            return Ok(LabelRequirement { key, condition });
        }
        let key = self.key()?;
        let condition = self.condition()?;
        Ok(LabelRequirement { key, condition })
    }

    fn condition(&mut self) -> Result<LabelCondition, SelectorError> {
        let token = self.peek().clone();
        match &token.kind {
            TokenKind::Comma | TokenKind::End => Ok(LabelCondition::Exists),
            TokenKind::Equals => {
                self.advance();
                self.value().map(LabelCondition::Equals)
            }
            TokenKind::Differs => {
                self.advance();
                self.value().map(LabelCondition::Differs)
            }
            TokenKind::Word(word) if word == "in" => {
                self.advance();
                self.values().map(LabelCondition::In)
            }
            TokenKind::Word(word) if word == "notin" => {
                self.advance();
                self.values().map(LabelCondition::NotIn)
            }
            _ => unexpected(&token, "`=`, `!=`, `in`, `notin`, `,` or the end"),
        }
    }

    fn values(&mut self) -> Result<BTreeSet<SmolStr>, SelectorError> {
        let token = self.advance();
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
            let token = self.advance();
            match token.kind {
                TokenKind::Close => return Ok(values),
                TokenKind::Comma => {}
                _ => return unexpected(&token, "`,` or `)`"),
            }
        }
    }

    fn key(&mut self) -> Result<SmolStr, SelectorError> {
        let token = self.advance();
        let TokenKind::Word(word) = &token.kind else {
            return unexpected(&token, "a label's key");
        };
        checked(label_syntax::check_key(word), token.column)?;
        Ok(word.clone())
    }

    fn value(&mut self) -> Result<SmolStr, SelectorError> {
        let token = self.advance();
        let TokenKind::Word(word) = &token.kind else {
            return unexpected(&token, "a label's value");
        };
        checked(label_syntax::check_value(word), token.column)?;
        Ok(word.clone())
    }

    fn peek(&self) -> &SelectorToken {
        &self.tokens[self.next]
    }

    fn advance(&mut self) -> SelectorToken {
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
