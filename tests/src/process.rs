//! A daemon as a real process.

use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use serde::Serialize;

/// A running daemon; killed when dropped.
pub struct Process {
    child: Child,
    /// Its settings file.
    pub settings: PathBuf,
    /// Its log.
    pub log: PathBuf,
}

/// The directory of the built programs.
pub fn programs() -> PathBuf {
    let test = std::env::current_exe().expect("the test's own path");
    test.ancestors().nth(2).expect("the target directory").to_path_buf()
}

/// Lines of a log that are shown when a test fails.
const LOG_LINES: usize = 15;

/// Number of the next process of this test process.
static NEXT: AtomicU32 = AtomicU32::new(1);

/// A directory for the files of one process. Tests that run beside each other
/// use the same names, so each process has a directory of its own.
fn scratch() -> PathBuf {
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    let name = format!("{}-{number}", std::process::id());
    let path = programs().join("system-tests").join(name);
    std::fs::create_dir_all(&path).expect("a scratch directory");
    path
}

/// Writes a file for a process, in a directory of its own.
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

    /// The most memory that the process has used, in KiB.
    pub fn peak_memory_kb(&self) -> u64 {
        let path = format!("/proc/{}/status", self.child.id());
        let status = std::fs::read_to_string(path).expect("the process's status");
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let kb = line.and_then(|line| line.trim().strip_suffix(" kB")?.trim().parse().ok());
        kb.expect("a peak of memory")
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
            .stdout(log.try_clone().expect("the log file twice"))
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

    /// The process's id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// What the process logged so far.
    pub fn logged(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Waits for the process to end by itself.
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
