//! Log set-up: text lines on standard error through log4rs.

use log::LevelFilter;
use log4rs::append::console::{ConsoleAppender, Target};
use log4rs::config::{Appender, Config, Root};
use log4rs::encode::pattern::PatternEncoder;
use serde::{Deserialize, Serialize};

/// Time in UTC, level, module and message.
const PATTERN: &str = "{d(%Y-%m-%dT%H:%M:%S%.3fZ)(utc)} {l} {t} {m}{n}";
/// Name of the only appender.
const APPENDER: &str = "stderr";

/// Log level, as spelled in settings.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Level {
    /// Nothing.
    Off,
    /// Errors that need an operator's attention.
    Error,
    /// Conditions that may lead to an error.
    Warn,
    /// State changes.
    #[default]
    Info,
    /// Details for developers.
    Debug,
}

impl From<Level> for LevelFilter {
    fn from(level: Level) -> Self {
        match level {
            Level::Off => Self::Off,
            Level::Error => Self::Error,
            Level::Warn => Self::Warn,
            Level::Info => Self::Info,
            Level::Debug => Self::Debug,
        }
    }
}

/// The log could not be set up.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum LogError {
    /// The process already has a logger.
    #[error("the log is already set up")]
    AlreadySet(#[from] log::SetLoggerError),
    /// log4rs rejected the configuration.
    #[error("invalid log configuration")]
    Config(#[from] log4rs::config::runtime::ConfigErrors),
}

/// Sets up the process's log on standard error. To be called once.
///
/// # Errors
///
/// [`LogError::AlreadySet`] if the log is already set up.
///
/// ```
/// use telemetry::{Level, init_log};
/// assert!(init_log(Level::Warn).is_ok());
/// assert!(init_log(Level::Warn).is_err());
/// ```
pub fn init_log(level: impl Into<LevelFilter>) -> Result<(), LogError> {
    let encoder = Box::new(PatternEncoder::new(PATTERN));
    let console = ConsoleAppender::builder().target(Target::Stderr).encoder(encoder).build();
    let appender = Appender::builder().build(APPENDER, Box::new(console));
    let root = Root::builder().appender(APPENDER).build(level.into());
    let config = Config::builder().appender(appender).build(root)?;
    log4rs::init_config(config)?;
    Ok(())
}
