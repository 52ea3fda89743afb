//! Writes the log as JSON lines to standard output through a bounded queue, so that a slow
//! reader of the log never delays a request.

use std::io::{self, Write};
use std::iter;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

use crossbeam_channel::{Receiver, Sender, TrySendError};
use ibishill_core::event;
use simplelog::{ConfigBuilder, LevelFilter, WriteLogger};

use crate::error::RelayError;

/// Capacity of the queue, in lines; about 300 KB at about 300 bytes each.
const QUEUE_LINES: usize = 1_024;

/// Interval between writes; batching saves system calls.
const FLUSH_INTERVAL: Duration = Duration::from_millis(100);

/// Maximum length of a write, in bytes: POSIX guarantees that writes to a pipe up to this length
/// (PIPE_BUF) are atomic.
const WRITE_MAX: usize = 4_096;

/// Stack size of the writer thread, in bytes.
const STACK_SIZE: usize = 64 * 1_024;

static DROPPED: AtomicU64 = AtomicU64::new(0);

struct LineQueue {
    sender: Sender<Vec<u8>>,
    line: Vec<u8>,
}

impl Write for LineQueue {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.line.extend_from_slice(bytes);
        if self.line.ends_with(b"\n") {
            let line = std::mem::take(&mut self.line);
            if let Err(TrySendError::Full(_)) = self.sender.try_send(line) {
                DROPPED.fetch_add(1, Ordering::Relaxed);
            }
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Installs the logger and starts the writer thread.
///
/// # Errors
///
/// Fails if the thread can't be started or a logger is already installed.
pub(crate) fn start() -> Result<(), RelayError> {
    let (sender, lines) = crossbeam_channel::bounded(QUEUE_LINES);
    let setup = |detail: String| RelayError::Setup { what: "log", detail };
    thread::Builder::new()
        .name("log".into())
        .stack_size(STACK_SIZE)
        .spawn(move || write(&lines))
        .map_err(|error| setup(error.to_string()))?;
    // The lines are complete JSON objects, so the logger adds nothing.
    let config = ConfigBuilder::new()
        .set_max_level(LevelFilter::Off)
        .set_time_level(LevelFilter::Off)
        .set_thread_level(LevelFilter::Off)
        .set_target_level(LevelFilter::Off)
        .set_location_level(LevelFilter::Off)
        .add_filter_allow_str("ibishill")
        .build();
    WriteLogger::init(LevelFilter::Info, config, LineQueue { sender, line: Vec::new() })
        .map_err(|error| setup(error.to_string()))
}

fn write(lines: &Receiver<Vec<u8>>) {
    let mut out = io::stdout();
    while let Ok(first) = lines.recv() {
        thread::sleep(FLUSH_INTERVAL);
        if write_batched(&mut out, iter::once(first).chain(lines.try_iter())).is_err() {
            // Standard output is closed; there is no other place to report it.
            return;
        }
        let dropped = DROPPED.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            event::emit_json(event::Event::LinesDropped, &[event::field("count", &dropped)]);
        }
    }
}

// Writes several lines at once, never more than fits into an atomic write, except for a single
// longer line.
fn write_batched<W, I>(out: &mut W, lines: I) -> io::Result<()>
where
    W: Write,
    I: Iterator<Item = Vec<u8>>,
{
    let mut batch = Vec::with_capacity(WRITE_MAX);
    for line in lines {
        if !batch.is_empty() && batch.len() + line.len() > WRITE_MAX {
            out.write_all(&batch)?;
            out.flush()?;
            batch.clear();
        }
        batch.extend(line);
    }
    out.write_all(&batch)?;
    out.flush()
}

/// Waits long enough for the writer thread to write the lines queued so far.
pub(crate) async fn flush_pending() {
    tokio::time::sleep(2 * FLUSH_INTERVAL).await;
}
