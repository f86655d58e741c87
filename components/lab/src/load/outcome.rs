//! What became of a request.

use serde::{Deserialize, Serialize};

/// What the caller knows at the end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// Every byte of the answer came and is right.
    Whole,
    /// A problem that says the request was not run.
    NotRun,
    /// A problem that says it may have run, or that it ran.
    MayHaveRun,
    /// Neither an answer nor such a problem.
    Lost,
    /// An answer that is not the one to this request.
    Wrong,
}

/// What a problem (problem+json) says about a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Ran {
    NotRun,
    MayHaveRun,
    #[serde(rename = "ran")]
    Done,
}

/// The part of a problem that is read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
pub struct Refused {
    ran: Ran,
}

impl Outcome {
    /// Judges a whole response by its status and body.
    ///
    /// ```
    /// use lab::load::Outcome;
    /// assert_eq!(Outcome::judge(200, b"abc", b"abc"), Outcome::Whole);
    /// assert_eq!(Outcome::judge(200, b"abd", b"abc"), Outcome::Wrong);
    /// assert_eq!(Outcome::judge(503, br#"{"ran":"not_run"}"#, b"abc"), Outcome::NotRun);
    /// assert_eq!(Outcome::judge(502, b"?", b"abc"), Outcome::Lost);
    /// ```
    pub fn judge(status: u16, body: &[u8], expected: &[u8]) -> Self {
        if (200..300).contains(&status) {
            return if body == expected { Self::Whole } else { Self::Wrong };
        }
        serde_json::from_slice(body).map_or(Self::Lost, |refused: Refused| refused.outcome())
    }
}

impl Refused {
    /// The outcome that the problem tells.
    ///
    /// ```
    /// use lab::load::{Outcome, Refused};
    /// let refused: Refused = serde_json::from_str(r#"{"ran":"ran"}"#).unwrap();
    /// assert_eq!(refused.outcome(), Outcome::MayHaveRun);
    /// ```
    pub fn outcome(self) -> Outcome {
        match self.ran {
            Ran::NotRun => Outcome::NotRun,
            Ran::MayHaveRun | Ran::Done => Outcome::MayHaveRun,
        }
    }
}
