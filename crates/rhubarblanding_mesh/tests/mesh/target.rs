//! A target with configurable behaviour: it answers, sheds or fails requests, or corrupts answers.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;

/// Time from a crash of a target until it is started again.
pub const DOWN: Duration = Duration::from_millis(700);

/// Time until a late answer.
pub const SLOW: Duration = Duration::from_millis(500);
/// Size of a download, in bytes: more than the sockets on its way hold.
pub const DOWNLOAD_BYTES: usize = 24 << 20;
/// Size of a large answer, in bytes.
pub const LARGE_BYTES: usize = 4 << 20;

/// Behaviour of the target on a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behaviour {
    /// Runs it and answers.
    Answer,
    /// Runs it and closes the connection.
    Lose,
    /// Runs it and answers after [`SLOW`].
    AnswerLate,
    /// Refuses it without running it.
    Shed,
    /// Runs it and answers with a failure.
    Fail,
    /// Runs it and answers with another request's identifier.
    WrongId,
    /// Runs it and answers with an encoded body.
    Encoded,
    /// Runs it and answers with an encoded body of [`LARGE_BYTES`].
    EncodedLarge,
    /// Refuses it without running it, with a body of [`LARGE_BYTES`].
    ShedLarge,
    /// Runs it and closes the connection in the middle of the answer.
    Cut,
    /// Runs it and closes the connection in the middle of an answer of [`LARGE_BYTES`].
    CutLarge,
    /// Runs it and answers with [`DOWNLOAD_BYTES`].
    Download,
    /// Answers, then sends an unsolicited second answer.
    Extra,
    /// Runs it and answers, after a copy of the connection's answer before.
    LateCopy,
    /// Runs it until the connection is closed, for 3 s at most.
    Work,
    /// Runs it and sends bytes without end.
    Endless(Endless),
}

/// Bytes without end: `start`, then `unit` again and again until the connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Endless {
    /// Sent once, after the status line and the request's identifier unless it begins with `HTTP`.
    pub start: &'static str,
    /// Sent again and again.
    pub unit: &'static str,
}

#[derive(Debug, Default)]
struct Recorded {
    /// Heads of the requests that were run.
    ran: Vec<String>,
    /// Times at which requests arrived.
    arrived: Vec<Instant>,
    closed_while_working: Option<Duration>,
    /// Bytes of endless answers that were accepted.
    endless_bytes: usize,
    /// Times after which endless answers ended.
    endless: Vec<Duration>,
}

/// A target that runs in the test process.
#[derive(Clone, Debug)]
pub struct Target {
    pub addr: SocketAddr,
    behaviour: Arc<Mutex<Behaviour>>,
    /// Header lines added to each answer.
    notice: Arc<Mutex<String>>,
    /// Part of the request line of requests that crash the target.
    crashes_on: Arc<Mutex<Option<&'static str>>>,
    /// Ends the current process of the target: its listener and its connections.
    process: Arc<Mutex<watch::Sender<u64>>>,
    recorded: Arc<Mutex<Recorded>>,
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Target {
    pub async fn start() -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let target = Self {
            addr: listener.local_addr()?,
            behaviour: Arc::new(Mutex::new(Behaviour::Answer)),
            notice: Arc::default(),
            crashes_on: Arc::default(),
            process: Arc::new(Mutex::new(watch::Sender::new(1))),
            recorded: Arc::default(),
        };
        tokio::spawn(target.clone().run(listener));
        Ok(target)
    }

    /// Serves, and starts again some time after each crash.
    async fn run(self, mut listener: TcpListener) {
        loop {
            let mut ended = lock(&self.process).subscribe();
            let mut connections = JoinSet::new();
            loop {
                tokio::select! {
                    accepted = listener.accept() => {
                        let Ok((stream, _)) = accepted else { return };
                        let target = self.clone();
                        connections.spawn(async move { target.serve(stream).await });
                    }
                    _ = ended.changed() => break,
                }
            }
            drop(listener);
            connections.shutdown().await;
            tokio::time::sleep(DOWN).await;
            listener = match TcpListener::bind(self.addr).await {
                Ok(listener) => listener,
                Err(_) => return,
            };
        }
    }

    /// Requests with `part` in their request line crash the target from now on.
    pub fn crash_on(&self, part: &'static str) {
        *lock(&self.crashes_on) = Some(part);
    }

    /// Ends the process of the target, which starts again after [`DOWN`].
    pub fn crash(&self) {
        lock(&self.process).send_modify(|process| *process += 1);
    }

    /// Number of the current process of the target, from 1.
    pub fn process(&self) -> u64 {
        *lock(&self.process).borrow()
    }

    pub fn set(&self, behaviour: Behaviour) {
        *lock(&self.behaviour) = behaviour;
    }

    /// Adds header lines to each answer, for example `t-rate: 5`; none if empty.
    pub fn give_notice(&self, lines: &str) {
        *lock(&self.notice) = match lines {
            "" => String::new(),
            lines => format!("{lines}\r\n"),
        };
    }

    /// Heads of the requests that were run.
    pub fn ran(&self) -> Vec<String> {
        lock(&self.recorded).ran.clone()
    }

    /// Times at which requests arrived.
    pub fn arrivals(&self) -> Vec<Instant> {
        lock(&self.recorded).arrived.clone()
    }

    /// Number of requests that arrived.
    pub fn arrived(&self) -> usize {
        lock(&self.recorded).arrived.len()
    }

    /// Number of requests that arrived in `[from, to)`.
    pub fn arrived_between(&self, from: Instant, to: Instant) -> usize {
        let recorded = lock(&self.recorded);
        recorded
            .arrived
            .iter()
            .filter(|at| **at >= from && **at < to)
            .count()
    }

    /// Time after which a connection was closed while its request ran.
    pub fn closed_while_working(&self) -> Option<Duration> {
        lock(&self.recorded).closed_while_working
    }

    async fn serve(&self, mut stream: TcpStream) {
        let mut last_answer = String::new();
        while let Some(head) = read_request(&mut stream).await {
            lock(&self.recorded).arrived.push(Instant::now());
            let behaviour = *lock(&self.behaviour);
            if !matches!(behaviour, Behaviour::Shed | Behaviour::ShedLarge) {
                lock(&self.recorded).ran.push(head.clone());
            }
            let crashes_on = *lock(&self.crashes_on);
            let request_line = head.lines().next().unwrap_or_default();
            if crashes_on.is_some_and(|part| request_line.contains(part)) {
                tokio::time::sleep(Duration::from_millis(20)).await;
                self.crash();
                std::future::pending::<()>().await;
            }
            if behaviour == Behaviour::Work {
                self.work(&mut stream).await;
                return;
            }
            if let Behaviour::Endless(endless) = behaviour {
                self.send_without_end(&mut stream, &head, endless).await;
                return;
            }
            if behaviour == Behaviour::AnswerLate {
                tokio::time::sleep(SLOW).await;
            }
            let notice = lock(&self.notice).clone();
            let mut answer = answer(behaviour, &head, &notice);
            if behaviour == Behaviour::LateCopy {
                let own = answer.clone();
                answer.insert_str(0, &std::mem::replace(&mut last_answer, own));
            }
            if stream.write_all(answer.as_bytes()).await.is_err() {
                return;
            }
            if matches!(
                behaviour,
                Behaviour::Lose | Behaviour::Cut | Behaviour::CutLarge
            ) {
                return;
            }
        }
    }

    /// Times after which the connections of endless answers were closed.
    pub fn endless(&self) -> Vec<Duration> {
        lock(&self.recorded).endless.clone()
    }

    /// Bytes of endless answers that were accepted.
    pub fn endless_bytes(&self) -> usize {
        lock(&self.recorded).endless_bytes
    }

    async fn send_without_end(&self, stream: &mut TcpStream, head: &str, endless: Endless) {
        let began = Instant::now();
        let id = header(head, "t-id").unwrap_or_default();
        let start = match endless.start.starts_with("HTTP") {
            true => String::new(),
            false => format!("HTTP/1.1 200 OK\r\nt-id: {id}\r\nt-signature: s\r\n"),
        };
        let unit = endless.unit.repeat(16 * 1024 / endless.unit.len());
        let mut next = start + endless.start;
        while stream.write_all(next.as_bytes()).await.is_ok() {
            lock(&self.recorded).endless_bytes += next.len();
            next.clone_from(&unit);
        }
        lock(&self.recorded).endless.push(began.elapsed());
    }

    async fn work(&self, stream: &mut TcpStream) {
        let began = Instant::now();
        let mut buf = [0; 1];
        let read = tokio::time::timeout(Duration::from_secs(3), stream.read(&mut buf)).await;
        if read.is_ok() {
            lock(&self.recorded).closed_while_working = Some(began.elapsed());
        }
    }
}

/// Value of a header in a request head.
pub fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    head.lines().find_map(|line| {
        let (key, value) = line.split_once(':')?;
        key.eq_ignore_ascii_case(name).then(|| value.trim())
    })
}

async fn read_request(stream: &mut TcpStream) -> Option<String> {
    let mut buf = Vec::new();
    let end = loop {
        if let Some(end) = buf.windows(4).position(|w| w == b"\r\n\r\n") {
            break end + 4;
        }
        if stream.read_buf(&mut buf).await.ok()? == 0 {
            return None;
        }
    };
    let head = String::from_utf8_lossy(&buf[..end]).into_owned();
    let body = header(&head, "content-length").and_then(|v| v.parse().ok());
    let mut left = body.unwrap_or(0usize).saturating_sub(buf.len() - end);
    while left > 0 {
        let mut chunk = vec![0; left];
        match stream.read(&mut chunk).await.ok()? {
            0 => return None,
            n => left -= n,
        }
    }
    Some(head)
}

fn answer(behaviour: Behaviour, head: &str, notice: &str) -> String {
    let id = header(head, "t-id").unwrap_or_default();
    let with = |status: &str, id: &str, extra_headers: &str, body: &str| {
        format!(
            "HTTP/1.1 {status}\r\nt-id: {id}\r\n{notice}{extra_headers}content-length: {}\r\n\r\n{body}",
            body.len()
        )
    };
    let signed = "t-signature: s\r\n";
    match behaviour {
        Behaviour::Answer | Behaviour::AnswerLate => with("200 OK", id, signed, "whole"),
        Behaviour::LateCopy => with("200 OK", id, signed, id),
        Behaviour::Lose | Behaviour::Work | Behaviour::Endless(_) => String::new(),
        Behaviour::Shed => with("503 Service Unavailable", id, "t-not-run: 1\r\n", ""),
        Behaviour::Fail => with("500 Internal Server Error", id, signed, "failed"),
        Behaviour::WrongId => with("200 OK", "another", signed, "foreign"),
        Behaviour::Encoded => with("200 OK", id, "content-encoding: gzip\r\n", "xx"),
        Behaviour::EncodedLarge => {
            let encoded = format!("{signed}content-encoding: gzip\r\n");
            with("200 OK", id, &encoded, &"x".repeat(LARGE_BYTES))
        }
        Behaviour::ShedLarge => {
            let body = "x".repeat(LARGE_BYTES);
            with("503 Service Unavailable", id, "t-not-run: 1\r\n", &body)
        }
        Behaviour::Cut => {
            format!("HTTP/1.1 200 OK\r\nt-id: {id}\r\ncontent-length: 99\r\n\r\nhalf")
        }
        Behaviour::CutLarge => {
            let head = format!("HTTP/1.1 200 OK\r\nt-id: {id}\r\n{signed}");
            let half = "x".repeat(LARGE_BYTES / 2);
            format!("{head}content-length: {LARGE_BYTES}\r\n\r\n{half}")
        }
        Behaviour::Download => with("200 OK", id, signed, &"x".repeat(DOWNLOAD_BYTES)),
        Behaviour::Extra => {
            let first = with("200 OK", id, signed, "whole");
            first + &with("200 OK", id, signed, "extra")
        }
    }
}
