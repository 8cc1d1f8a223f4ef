//! Structured log lines on standard output, bounded and never waited for.

use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use flexi_logger::writers::LogWriter;
use flexi_logger::{DeferredNow, FlexiLoggerError, LogSpecification, Logger, LoggerHandle};
use log::kv::{Key, Value, VisitSource};
use log::{Level, Record};
use rhubarblanding_core::prelude::HashMap;
use serde_json::Map;

use super::parking::lock;

/// Greatest size of the lines that are handed to the writing thread together: what a pipe takes as
/// a whole (`PIPE_BUF`), so that no reader sees a part of a line before those of other writers.
const BATCH_BYTES: usize = 4 * 1024;
/// Longest time for which a line is collected.
const BATCH_TIME: Duration = Duration::from_millis(200);
/// Batches that may wait to be written; further ones are dropped and counted.
const BATCHES_WAITING: usize = 256;
/// Lines of one event and reason that are written in a second; further ones are counted.
const LINES_PER_SECOND: u32 = 40;
/// Events and reasons that are told apart in a second; lines of others are counted by their event
/// alone, so that reasons in free text do not lift the bound.
const RATES_MAX: usize = 128;
/// Field that tells lines of one event apart: rare reasons are not to be left out for frequent ones.
const REASON: &str = "reason";
/// Length of the time over which lines of one event are counted.
const RATE_WINDOW: Duration = Duration::from_secs(1);

/// Longest wait for the writing thread when the process ends.
const FLUSH_TIME: Duration = Duration::from_millis(100);
/// Time between two looks at what the writing thread has written.
const FLUSH_POLL: Duration = Duration::from_millis(2);

#[derive(Debug, Default)]
struct EventRate {
    written: u32,
    suppressed: u64,
}

#[derive(Debug)]
struct Pending {
    batch: Vec<u8>,
    since: Instant,
    window: Instant,
    rates: HashMap<RateKey, EventRate>,
}

/// What lines are counted by.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct RateKey {
    event: String,
    reason: Option<String>,
}

impl RateKey {
    fn of(event: &str, record: &Record<'_>) -> Self {
        let reason = record.key_values().get(Key::from_str(REASON));
        Self {
            event: event.to_owned(),
            reason: reason.map(|reason| reason.to_string()),
        }
    }
}

/// Writes records as JSON lines.
struct JsonLines {
    pending: Mutex<Pending>,
    batches: SyncSender<Vec<u8>>,
    dropped: AtomicU64,
    /// Batches handed over and batches written.
    handed: AtomicU64,
    written: Arc<AtomicU64>,
}

/// Starts the logger of this process: JSON lines on standard output.
///
/// The lines of one event and reason are bounded in each second; what is left out is counted in a
/// line of its own. If standard output is not read, lines are dropped and counted.
///
/// # Errors
///
/// Fails if a logger was started before or the writing thread cannot be started.
pub fn start(level: log::LevelFilter) -> Result<LoggerHandle, FlexiLoggerError> {
    let (batches, rx) = sync_channel(BATCHES_WAITING);
    let done = Arc::new(AtomicU64::new(0));
    let written = Arc::clone(&done);
    std::thread::Builder::new()
        .name("log".to_owned())
        .stack_size(64 * 1024)
        .spawn(move || write_batches(&rx, &written))?;
    let now = Instant::now();
    let writer = JsonLines {
        pending: Mutex::new(Pending {
            batch: Vec::with_capacity(BATCH_BYTES),
            since: now,
            window: now,
            rates: HashMap::default(),
        }),
        batches,
        dropped: AtomicU64::new(0),
        handed: AtomicU64::new(0),
        written: done,
    };
    let spec = LogSpecification::builder()
        .default(level.min(log::LevelFilter::Warn))
        .module("rhubarblanding", level)
        .module("rhubarblanding_mesh", level)
        .module("rhubarblanding_node", level)
        .module("rhubarblanding_store", level)
        .build();
    Logger::with(spec).log_to_writer(Box::new(writer)).start()
}

fn write_batches(batches: &Receiver<Vec<u8>>, written: &AtomicU64) {
    let mut out = std::io::stdout();
    while let Ok(batch) = batches.recv() {
        if out.write_all(&batch).and_then(|()| out.flush()).is_err() {
            // Nobody reads standard output any more; the process works on without lines.
            return;
        }
        written.fetch_add(1, Ordering::Release);
    }
}

struct Fields(Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), log::kv::Error> {
        let value = serde_json::to_value(&value).unwrap_or(serde_json::Value::Null);
        self.0.insert(key.as_str().to_owned(), value);
        Ok(())
    }
}

fn line(event: &str, level: Level, fields: Map<String, serde_json::Value>) -> Vec<u8> {
    let at = SystemTime::now().duration_since(UNIX_EPOCH);
    let at_ms = at.map_or(0, |at| at.as_millis() as u64);
    let mut object = Map::new();
    object.insert("at_ms".into(), at_ms.into());
    object.insert("level".into(), level.as_str().into());
    object.insert("event".into(), event.into());
    object.extend(fields);
    let mut line = serde_json::Value::Object(object).to_string().into_bytes();
    line.push(b'\n');
    line
}

impl Pending {
    fn admit(&mut self, mut key: RateKey) -> bool {
        if self.rates.len() >= RATES_MAX && !self.rates.contains_key(&key) {
            key.reason = None;
        }
        if let Some(rate) = self.rates.get_mut(&key) {
            if rate.written >= LINES_PER_SECOND {
                rate.suppressed += 1;
                return false;
            }
            rate.written += 1;
            return true;
        }
        let rate = EventRate {
            written: 1,
            suppressed: 0,
        };
        self.rates.insert(key, rate);
        true
    }

    /// Lines about what was left out, once a window is over.
    fn end_window(&mut self) -> Vec<Vec<u8>> {
        if self.window.elapsed() < RATE_WINDOW {
            return Vec::new();
        }
        self.window = Instant::now();
        let rates = std::mem::take(&mut self.rates).into_iter();
        let suppressed = rates.filter(|(_, rate)| rate.suppressed > 0);
        suppressed
            .map(|(key, rate)| {
                let mut fields = Map::new();
                fields.insert("of".into(), key.event.into());
                if let Some(reason) = key.reason {
                    fields.insert(REASON.into(), reason.into());
                }
                fields.insert("count".into(), rate.suppressed.into());
                line("lines_suppressed", Level::Info, fields)
            })
            .collect()
    }

    fn is_due(&self) -> bool {
        self.batch.len() >= BATCH_BYTES || self.since.elapsed() >= BATCH_TIME
    }
}

impl JsonLines {
    fn push(&self, pending: &mut Pending, line: Vec<u8>) {
        if pending.batch.len() + line.len() > BATCH_BYTES {
            self.hand_over(pending);
        }
        pending.batch.extend(line);
    }

    fn hand_over(&self, pending: &mut Pending) {
        if pending.batch.is_empty() {
            return;
        }
        let batch = std::mem::replace(&mut pending.batch, Vec::with_capacity(BATCH_BYTES));
        pending.since = Instant::now();
        let lines = batch.iter().filter(|b| **b == b'\n').count() as u64;
        if self.batches.try_send(batch).is_err() {
            self.dropped.fetch_add(lines, Ordering::Relaxed);
            return;
        }
        self.handed.fetch_add(1, Ordering::Relaxed);
        let dropped = self.dropped.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            let mut fields = Map::new();
            fields.insert("count".into(), dropped.into());
            pending
                .batch
                .extend(line("lines_dropped", Level::Warn, fields));
        }
    }
}

impl LogWriter for JsonLines {
    fn write(&self, _now: &mut DeferredNow, record: &Record<'_>) -> std::io::Result<()> {
        let event = match record.args().as_str() {
            Some(event) => event.to_owned(),
            None => record.args().to_string(),
        };
        let key = RateKey::of(&event, record);
        let mut pending = lock(&self.pending);
        for line in pending.end_window() {
            self.push(&mut pending, line);
        }
        if pending.admit(key) {
            let mut fields = Fields(Map::new());
            let _ = record.key_values().visit(&mut fields);
            self.push(&mut pending, line(&event, record.level(), fields.0));
        }
        if pending.is_due() {
            self.hand_over(&mut pending);
        }
        Ok(())
    }

    fn flush(&self) -> std::io::Result<()> {
        self.hand_over(&mut lock(&self.pending));
        let began = Instant::now();
        let is_behind =
            || self.written.load(Ordering::Acquire) < self.handed.load(Ordering::Relaxed);
        while is_behind() && began.elapsed() < FLUSH_TIME {
            std::thread::sleep(FLUSH_POLL);
        }
        Ok(())
    }

    fn max_log_level(&self) -> log::LevelFilter {
        log::LevelFilter::Trace
    }
}
