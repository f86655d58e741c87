//! JSON-lines log on standard output, written from a bounded queue.
//!
//! Logging never blocks on the output: a separate thread writes the queued
//! lines, and lines that don't fit into the queue are dropped and counted.

use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use log::{LevelFilter, Record};
use log4rs::append::Append;
use log4rs::config::{Appender, Config, Logger, Root};
use log4rs::encode::Encode;
use log4rs::encode::json::JsonEncoder;
use log4rs::encode::writer::simple::SimpleWriter;

use crate::log_setup::LogError;

/// Maximum size of the queued lines, in bytes.
const QUEUE_LIMIT_BYTES: usize = 1 << 20;

/// Interval at which the writer thread writes the queued lines.
const WRITE_INTERVAL: Duration = Duration::from_millis(100);

/// Name of the only appender.
const APPENDER: &str = "stdout";

/// Libraries that log routine operation at info level; only their warnings and
/// errors are kept.
const WARN_ONLY_LIBRARIES: [&str; 2] = ["actix_server", "mio"];

/// Log appender with a bounded queue and a writer thread.
#[derive(Debug)]
pub struct JsonAppender {
    encoder: JsonEncoder,
    queue: Arc<Queue>,
}

#[derive(Debug, Default)]
struct Queue {
    bytes: Mutex<Vec<u8>>,
    dropped: AtomicU64,
    limit: usize,
}

impl Queue {
    fn drain(&self) -> Vec<u8> {
        let mut bytes = self.bytes.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        std::mem::take(&mut *bytes)
    }

    fn push(&self, line: &[u8]) {
        let mut bytes = self.bytes.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        if bytes.len() + line.len() > self.limit {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        } else {
            bytes.extend_from_slice(line);
        }
    }

    /// Writes the queued lines, then the number of lines dropped since the last
    /// write.
    fn write_queued(&self, out: &mut impl Write) -> std::io::Result<()> {
        let bytes = self.drain();
        let dropped = self.dropped.swap(0, Ordering::Relaxed);
        if !bytes.is_empty() {
            out.write_all(&bytes)?;
        }
        if dropped > 0 {
            writeln!(
                out,
                "{{\"level\":\"WARN\",\"message\":\"lines dropped\",\"count\":{dropped}}}"
            )?;
        }
        out.flush()
    }
}

impl JsonAppender {
    /// Starts a thread that writes to `out`. At most `limit` bytes are queued.
    pub fn new(limit: usize, mut out: impl Write + Send + 'static) -> JsonAppender {
        let queue = Arc::new(Queue { limit, ..Queue::default() });
        let writer_queue = queue.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(WRITE_INTERVAL);
                if writer_queue.write_queued(&mut out).is_err() {
                    // The output is closed, so the error can't be logged.
                    return;
                }
            }
        });
        JsonAppender { encoder: JsonEncoder::new(), queue }
    }
}

impl Append for JsonAppender {
    fn append(&self, record: &Record) -> anyhow::Result<()> {
        let mut line = SimpleWriter(Vec::with_capacity(256));
        self.encoder.encode(&mut line, record)?;
        self.queue.push(&line.0);
        Ok(())
    }

    fn flush(&self) {
        let _ = self.queue.write_queued(&mut std::io::stdout());
    }
}

/// Sets up the process's log as JSON lines on standard output. To be called
/// once.
///
/// # Errors
///
/// [`LogError::AlreadySet`] if the log is already set up.
pub fn init_json_log() -> Result<(), LogError> {
    let json = Box::new(JsonAppender::new(QUEUE_LIMIT_BYTES, std::io::stdout()));
    let appender = Appender::builder().build(APPENDER, json);
    let root = Root::builder().appender(APPENDER).build(LevelFilter::Info);
    let mut config = Config::builder().appender(appender);
    for library in WARN_ONLY_LIBRARIES {
        config = config.logger(Logger::builder().build(library, LevelFilter::Warn));
    }
    log4rs::init_config(config.build(root)?)?;
    Ok(())
}
