//! Action arguments of the commands.

use std::str::FromStr;

/// The argument is not an action of the command.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("expected {expected}")]
pub struct ActionError {
    expected: &'static str,
}

/// Action on routes, pools or client accounts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Edit {
    List,
    Show,
    Set,
    Delete,
}

/// Action on rows that can only be viewed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum View {
    List,
    Show,
}

/// Action on requests that crashed backend servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Review {
    List,
    Show,
    Delete,
}

/// Whether to take an availability zone or backend server out of service or to
/// return it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Service {
    Out,
    Return,
}

/// Format of the output.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Format {
    Text,
    Json,
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

impl FromStr for Format {
    type Err = ActionError;

    fn from_str(text: &str) -> Result<Format, ActionError> {
        match text {
            "text" => Ok(Format::Text),
            "json" => Ok(Format::Json),
            _ => Err(ActionError { expected: "text or json" }),
        }
    }
}
