//! What a command does with rows.

use std::str::FromStr;

/// The word is none of those that the command takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("expected {expected}")]
pub struct ActionError {
    expected: &'static str,
}

/// What to do with routes, pools or client accounts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Edit {
    List,
    Show,
    Set,
    Delete,
}

/// How to look at rows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum View {
    List,
    Show,
}

/// What to do with the evidence against requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Review {
    List,
    Show,
    Delete,
}

/// Whether something goes out of service or comes back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Service {
    Out,
    Return,
}

impl FromStr for Edit {
    type Err = ActionError;

    fn from_str(text: &str) -> Result<Edit, ActionError> {
        match text {
            "list" => Ok(Edit::List),
            "show" => Ok(Edit::Show),
            "set" => Ok(Edit::Set),
            "delete" => Ok(Edit::Delete),
            _ => Err(ActionError { expected: "list, show, set or delete" }),
        }
    }
}

impl FromStr for View {
    type Err = ActionError;

    fn from_str(text: &str) -> Result<View, ActionError> {
        match text {
            "list" => Ok(View::List),
            "show" => Ok(View::Show),
            _ => Err(ActionError { expected: "list or show" }),
        }
    }
}

impl FromStr for Review {
    type Err = ActionError;

    fn from_str(text: &str) -> Result<Review, ActionError> {
        match text {
            "list" => Ok(Review::List),
            "show" => Ok(Review::Show),
            "delete" => Ok(Review::Delete),
            _ => Err(ActionError { expected: "list, show or delete" }),
        }
    }
}

impl FromStr for Service {
    type Err = ActionError;

    fn from_str(text: &str) -> Result<Service, ActionError> {
        match text {
            "out" => Ok(Service::Out),
            "return" => Ok(Service::Return),
            _ => Err(ActionError { expected: "out or return" }),
        }
    }
}
