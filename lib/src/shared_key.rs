//! The key that the entry hosts of one user share.

use std::fmt;

use serde::Deserialize;
use serde::Deserializer;
use serde::de::Error;

/// Hexadecimal digits of a key in settings.
const KEY_DIGITS: usize = 32;

/// A key of 16 bytes. Its debug form omits the bytes, so that they do not reach logs.
#[derive(Clone, Copy, PartialEq, Eq)]
pub struct SharedKey {
    bytes: [u8; 16],
}

impl SharedKey {
    /// Creates a key from its bytes.
    pub fn new(bytes: [u8; 16]) -> Self {
        Self { bytes }
    }

    /// The bytes of the key.
    pub fn bytes(&self) -> [u8; 16] {
        self.bytes
    }
}

impl fmt::Debug for SharedKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("SharedKey(..)")
    }
}

impl<'de> Deserialize<'de> for SharedKey {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        let digits =
            text.len() == KEY_DIGITS && text.chars().all(|digit| digit.is_ascii_hexdigit());
        match u128::from_str_radix(&text, 16) {
            Ok(number) if digits => Ok(Self::new(number.to_be_bytes())),
            _ => Err(D::Error::custom(format!(
                "expected {KEY_DIGITS} hexadecimal digits in quotes"
            ))),
        }
    }
}
