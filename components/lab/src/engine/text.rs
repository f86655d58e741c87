//! The text of answers: a function of the prompt and the index alone, so that
//! a test can check every byte.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Hexadecimal digits of a token.
const DIGITS: usize = 6;

/// The text of token `index` of the answer to `prompt`.
///
/// ```
/// use lab::engine::token;
/// assert_eq!(token("Which liner?", 3), token("Which liner?", 3));
/// assert_ne!(token("Which liner?", 3), token("Which liner?", 4));
/// ```
pub fn token(prompt: &str, index: u32) -> String {
    let hash = xxh3_64_with_seed(prompt.as_bytes(), index.into());
    let bits = hash & ((1 << (4 * DIGITS)) - 1);
    format!("{bits:0DIGITS$x} ")
}

/// The whole answer of `tokens` tokens to `prompt`.
///
/// ```
/// use lab::engine::{expected, token};
/// let answer = expected("Which liner?", 2);
/// assert_eq!(answer, token("Which liner?", 0) + &token("Which liner?", 1));
/// ```
pub fn expected(prompt: &str, tokens: u32) -> String {
    (0..tokens).map(|index| token(prompt, index)).collect()
}

/// Number of tokens of a prompt: its words.
///
/// ```
/// assert_eq!(lab::engine::count("left boot, size 26"), 4);
/// ```
pub fn count(prompt: &str) -> u32 {
    prompt.split_whitespace().count().try_into().unwrap_or(u32::MAX)
}
