//! Unchecked settings and their checks.

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use clap::ArgMatches;
use rhubarblanding_core::prelude::*;

use super::{ListenAddresses, LogFormat, Settings};

/// Greatest number of worker threads.
const THREADS_MAX: usize = 64;

/// Settings as they were given, each a text.
#[derive(Clone, Debug, Default)]
pub struct RawSettings {
    /// `--service`
    pub service: Option<String>,
    /// `--zone`
    pub zone: Option<String>,
    /// `--caller-listen`
    pub caller_listen: Option<String>,
    /// `--local-listen`
    pub local_listen: Option<String>,
    /// `--peer-listen`
    pub peer_listen: Option<String>,
    /// `--peer-advertise`
    pub peer_advertise: Option<String>,
    /// `--operator-listen`
    pub operator_listen: Option<String>,
    /// `--backend`
    pub backend: Option<String>,
    /// `--store`
    pub store: Option<String>,
    /// `--seed`
    pub seeds: Vec<String>,
    /// `--log-level`
    pub log_level: Option<String>,
    /// `--log-format`
    pub log_format: Option<String>,
    /// `--drain-limit-s`
    pub drain_limit_s: Option<String>,
    /// `--statsd`
    pub statsd: Option<String>,
    /// `--threads`
    pub threads: Option<String>,
}

impl From<&ArgMatches> for RawSettings {
    fn from(matches: &ArgMatches) -> Self {
        let text = |name: &str| matches.get_one::<String>(name).cloned();
        Self {
            service: text("service"),
            zone: text("zone"),
            caller_listen: text("caller-listen"),
            local_listen: text("local-listen"),
            peer_listen: text("peer-listen"),
            peer_advertise: text("peer-advertise"),
            operator_listen: text("operator-listen"),
            backend: text("backend"),
            store: text("store"),
            seeds: matches
                .get_many::<String>("seed")
                .map(|seeds| seeds.cloned().collect())
                .unwrap_or_default(),
            log_level: text("log-level"),
            log_format: text("log-format"),
            drain_limit_s: text("drain-limit-s"),
            statsd: text("statsd"),
            threads: text("threads"),
        }
    }
}

/// One setting that does not hold an allowed value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FieldError {
    /// Name of the flag without its dashes.
    pub flag: &'static str,
    /// What is wrong and what is allowed.
    pub reason: String,
}

/// Every setting that does not hold an allowed value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsErrors(pub Vec<FieldError>);

impl fmt::Display for SettingsErrors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for error in &self.0 {
            writeln!(f, "--{}: {}", error.flag, error.reason)?;
        }
        Ok(())
    }
}

impl std::error::Error for SettingsErrors {}

/// Collects the errors while the settings are read one by one.
#[derive(Default)]
struct Checker {
    errors: Vec<FieldError>,
}

impl Checker {
    fn reject(&mut self, flag: &'static str, reason: impl Into<String>) {
        let reason = reason.into();
        self.errors.push(FieldError { flag, reason });
    }

    fn required<T>(
        &mut self,
        flag: &'static str,
        raw: Option<&String>,
        parse: impl FnOnce(&str) -> Result<T, String>,
    ) -> Option<T> {
        if raw.is_none() {
            self.reject(flag, "must be given");
        }
        self.optional(flag, raw, parse)
    }

    fn optional<T>(
        &mut self,
        flag: &'static str,
        raw: Option<&String>,
        parse: impl FnOnce(&str) -> Result<T, String>,
    ) -> Option<T> {
        let raw = raw?;
        match parse(raw) {
            Ok(value) => Some(value),
            Err(reason) => {
                self.reject(flag, format!("`{raw}` {reason}"));
                None
            }
        }
    }
}

fn address(raw: &str) -> Result<SocketAddr, String> {
    let addr = SocketAddr::from_str(raw)
        .map_err(|_| "is not an address; give IP:PORT with a numeric IP".to_owned())?;
    if addr.port() == 0 {
        return Err("must name a port from 1 to 65535".to_owned());
    }
    Ok(addr)
}

fn loopback_address(raw: &str) -> Result<SocketAddr, String> {
    let addr = address(raw)?;
    if !addr.ip().is_loopback() {
        return Err("must be a loopback address".to_owned());
    }
    Ok(addr)
}

fn host_address(raw: &str) -> Result<SocketAddr, String> {
    let addr = address(raw)?;
    if addr.ip().is_unspecified() {
        return Err("must be an address that other hosts can reach".to_owned());
    }
    Ok(addr)
}

fn name<T>(raw: &str) -> Result<T, String>
where
    T: for<'a> TryFrom<&'a str, Error = rhubarblanding_core::names::InvalidName>,
{
    T::try_from(raw).map_err(|e| e.to_string())
}

fn log_level(raw: &str) -> Result<log::LevelFilter, String> {
    log::LevelFilter::from_str(raw)
        .map_err(|_| "must be off, error, warn, info, debug or trace".to_owned())
}

fn log_format(raw: &str) -> Result<LogFormat, String> {
    LogFormat::from_str(raw).map_err(|_| "must be text or json".to_owned())
}

fn seconds(raw: &str) -> Result<Duration, String> {
    match raw.parse::<u64>() {
        Ok(seconds @ 1..=86_400) => Ok(Duration::from_secs(seconds)),
        _ => Err("must be a whole number of seconds from 1 to 86400".to_owned()),
    }
}

fn threads(raw: &str) -> Result<usize, String> {
    match raw.parse::<usize>() {
        Ok(count @ 1..=THREADS_MAX) => Ok(count),
        _ => Err(format!("must be a whole number from 1 to {THREADS_MAX}")),
    }
}

impl TryFrom<RawSettings> for Settings {
    type Error = SettingsErrors;

    fn try_from(raw: RawSettings) -> Result<Self, Self::Error> {
        let mut check = Checker::default();
        let service = check.required("service", raw.service.as_ref(), name);
        let zone = check.required("zone", raw.zone.as_ref(), name);
        let caller = check.required("caller-listen", raw.caller_listen.as_ref(), address);
        let local = check.required("local-listen", raw.local_listen.as_ref(), loopback_address);
        let peer = check.required("peer-listen", raw.peer_listen.as_ref(), host_address);
        let advertise = check.optional("peer-advertise", raw.peer_advertise.as_ref(), host_address);
        let operator = check.required("operator-listen", raw.operator_listen.as_ref(), address);
        let backend = check.required("backend", raw.backend.as_ref(), address);
        let store = check.required("store", raw.store.as_ref(), address);
        let level = check.optional("log-level", raw.log_level.as_ref(), log_level);
        let format = check.optional("log-format", raw.log_format.as_ref(), log_format);
        let drain_limit = check.optional("drain-limit-s", raw.drain_limit_s.as_ref(), seconds);
        let statsd = check.optional("statsd", raw.statsd.as_ref(), address);
        let worker_threads = check.optional("threads", raw.threads.as_ref(), threads);
        let seeds = raw
            .seeds
            .iter()
            .filter_map(|seed| check.optional("seed", Some(seed), host_address))
            .map(HostId)
            .collect();
        let (
            Some(service),
            Some(zone),
            Some(caller),
            Some(local),
            Some(peer),
            Some(operator),
            Some(backend),
            Some(store),
            true,
        ) = (
            service,
            zone,
            caller,
            local,
            peer,
            operator,
            backend,
            store,
            check.errors.is_empty(),
        )
        else {
            return Err(SettingsErrors(check.errors));
        };
        Ok(Self {
            service,
            zone,
            listen: ListenAddresses {
                caller,
                local,
                peer,
                operator,
            },
            peer_advertise: advertise,
            backend,
            store,
            seeds,
            log_level: level.unwrap_or(log::LevelFilter::Info),
            log_format: format.unwrap_or(LogFormat::Text),
            drain_limit,
            statsd,
            threads: worker_threads.unwrap_or(2),
        })
    }
}
