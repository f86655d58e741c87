//! A daemon as a real process.

use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use serde::Serialize;

/// A daemon process, killed on drop.
pub struct Process {
    child: Child,
    /// Path of its settings file.
    pub settings: PathBuf,
    /// Path of its log file.
    pub log: PathBuf,
}

/// The directory of the built programs.
pub fn programs() -> PathBuf {
    let test = std::env::current_exe().expect("the test's own path");
    test.ancestors().nth(2).expect("the target directory").to_path_buf()
}

/// Last log lines printed when a test fails.
const LOG_LINES: usize = 15;

/// Number of the next scratch directory of this test process.
static NEXT_SCRATCH: AtomicU32 = AtomicU32::new(1);

/// Creates a directory for the files of one process. Concurrent tests use the
/// same file names, so each process has its own directory.
fn scratch() -> PathBuf {
    let number = NEXT_SCRATCH.fetch_add(1, Ordering::Relaxed);
    let name = format!("{}-{number}", std::process::id());
    let path = programs().join("system-tests").join(name);
    std::fs::create_dir_all(&path).expect("a scratch directory");
    path
}

/// Writes a file into a new scratch directory.
pub fn file(name: &str, text: &str) -> PathBuf {
    let file = scratch().join(name);
    std::fs::write(&file, text).expect("a file for a process");
    file
}

impl Process {
    /// Starts a program with settings written to a file named `name`.
    pub fn start(program: &[&str], name: &str, settings: &impl Serialize) -> Process {
        let text = serde_json::to_string_pretty(settings).expect("settings as JSON");
        Process::start_file(program, &file(&format!("{name}.json"), &text))
    }

    /// Peak resident memory of the process, in KiB.
    pub fn peak_memory_kb(&self) -> u64 {
        let path = format!("/proc/{}/status", self.child.id());
        let status = std::fs::read_to_string(path).expect("the process's status");
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let kb = line.and_then(|line| line.trim().strip_suffix(" kB")?.trim().parse().ok());
        kb.expect("a peak of memory")
    }

    /// Number of open descriptors of the process.
    pub fn descriptors(&self) -> usize {
        let path = format!("/proc/{}/fd", self.child.id());
        std::fs::read_dir(path).expect("the process's descriptors").count()
    }

    /// Starts a program with a settings file.
    pub fn start_file(program: &[&str], file: &Path) -> Process {
        let name = file.with_extension("log");
        let path = scratch().join(name.file_name().expect("a file name"));
        let log = std::fs::File::create(&path).expect("a log file");
        let child = Command::new(programs().join(program[0]))
            .args(&program[1..])
            .arg("--settings")
            .arg(file)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a second handle to the log file"))
            .stderr(log)
            .spawn()
            .expect("the program starts; build the workspace first");
        Process { child, settings: file.to_path_buf(), log: path }
    }

    /// Sends a signal, such as `TERM`, `STOP`, `CONT` or `KILL`.
    pub fn signal(&self, signal: &str) {
        let id = self.child.id().to_string();
        let sent = Command::new("kill").args(["-s", signal, &id]).status();
        assert!(sent.expect("kill runs").success(), "signal {signal} to {id}");
    }

    /// Sends a signal to a process that may have ended.
    pub fn signal_if_alive(&mut self, signal: &str) {
        if matches!(self.child.try_wait(), Ok(None)) {
            self.signal(signal);
        }
    }

    /// The process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// The log output so far.
    pub fn logged(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Kills the process and waits until it has ended.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Waits for the process to exit; `None` if it still runs after `limit`.
    pub fn wait(&mut self, limit: Duration) -> Option<ExitStatus> {
        let started = Instant::now();
        while started.elapsed() < limit {
            if let Some(status) = self.child.try_wait().expect("the child can be waited for") {
                return Some(status);
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        None
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
        if std::thread::panicking() {
            let log = std::fs::read_to_string(&self.log).unwrap_or_default();
            let skipped = log.lines().count().saturating_sub(LOG_LINES);
            let last: Vec<&str> = log.lines().skip(skipped).collect();
            eprintln!("{}:\n{}", self.log.display(), last.join("\n"));
        }
    }
}
