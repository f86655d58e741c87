//! The log as JSON lines on standard output, from a bounded queue.
//!
//! A line never waits: a thread of its own writes what the queue holds, and
//! lines that find the queue full are dropped and counted.

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

/// Most bytes that wait to be written.
const QUEUE_BYTES: usize = 1 << 20;

/// Time between two writes.
const WRITE_INTERVAL: Duration = Duration::from_millis(100);

/// Name of the only appender.
const APPENDER: &str = "stdout";

/// Libraries whose own accounts of normal work are left out.
const LIBRARIES: [&str; 2] = ["actix_server", "mio"];

/// A log whose lines wait in bounded memory for the thread that writes them.
#[derive(Debug)]
pub struct Bounded {
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
    fn take(&self) -> Vec<u8> {
        let mut bytes = self.bytes.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        std::mem::take(&mut *bytes)
    }

    fn put(&self, line: &[u8]) {
        let mut bytes = self.bytes.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        if bytes.len() + line.len() > self.limit {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        } else {
            bytes.extend_from_slice(line);
        }
    }

    /// Writes what waits and says how much was dropped meanwhile.
    fn write(&self, out: &mut impl Write) -> std::io::Result<()> {
        let bytes = self.take();
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

impl Bounded {
    /// A log of at most `limit` waiting bytes, written to `out` by a thread.
    pub fn new(limit: usize, mut out: impl Write + Send + 'static) -> Bounded {
        let queue = Arc::new(Queue { limit, ..Queue::default() });
        let written = queue.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(WRITE_INTERVAL);
                if written.write(&mut out).is_err() {
                    // Nobody reads any more; there is nowhere to say so.
                    return;
                }
            }
        });
        Bounded { encoder: JsonEncoder::new(), queue }
    }
}

impl Append for Bounded {
    fn append(&self, record: &Record) -> anyhow::Result<()> {
        let mut line = SimpleWriter(Vec::with_capacity(256));
        self.encoder.encode(&mut line, record)?;
        self.queue.put(&line.0);
        Ok(())
    }

    fn flush(&self) {
        let _ = self.queue.write(&mut std::io::stdout());
    }
}

/// Sends the log of this process to standard output as JSON lines, once.
///
/// # Errors
///
/// [`LogError::Twice`] if the process has a log already.
pub fn init_json_log() -> Result<(), LogError> {
    let bounded = Box::new(Bounded::new(QUEUE_BYTES, std::io::stdout()));
    let appender = Appender::builder().build(APPENDER, bounded);
    let root = Root::builder().appender(APPENDER).build(LevelFilter::Info);
    let mut config = Config::builder().appender(appender);
    for library in LIBRARIES {
        config = config.logger(Logger::builder().build(library, LevelFilter::Warn));
    }
    log4rs::init_config(config.build(root)?)?;
    Ok(())
}
