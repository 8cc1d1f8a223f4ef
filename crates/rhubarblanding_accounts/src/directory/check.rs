//! Validation of decoded accounts.

use rhubarblanding_core::prelude::*;

use super::raw::{AccountFinding, RawAccount, RawAccounts, RawUndecodedAccount};
use super::{Account, AccountDirectory};
use crate::quota::Quota;

/// Entry whose fields have been checked, in the order of the configuration.
struct Entry {
    position: usize,
    /// `None` if it has a fault.
    account: Option<Account>,
    keys: Vec<String>,
}

pub(super) fn check(raw: RawAccounts) -> (AccountDirectory, Vec<AccountFinding>) {
    let mut findings = Vec::new();
    let mut directory = AccountDirectory {
        is_required: !raw.decoded.is_empty() || !raw.undecoded.is_empty(),
        has_unknown_keys: raw.undecoded.iter().any(|entry| entry.keys.is_none()),
        ..AccountDirectory::default()
    };
    let mut entries = check_fields(raw, &mut findings);
    refuse_doubled_names(&mut entries, &mut findings);
    let valid = entries.iter().filter_map(|entry| entry.account.clone());
    directory.accounts = valid.collect();
    directory.accounts.sort_unstable_by_key(|a| a.key);
    add_keys(&mut directory, entries, &mut findings);
    (directory, findings)
}

fn finding(position: usize, field: &str, reason: &'static str) -> AccountFinding {
    AccountFinding {
        field: format!("[{position}]{field}"),
        reason,
    }
}

fn check_fields(raw: RawAccounts, findings: &mut Vec<AccountFinding>) -> Vec<Entry> {
    let is_undecoded = |i: &usize| raw.undecoded.iter().any(|entry| entry.position == *i);
    let positions = (0..).filter(|i| !is_undecoded(i));
    let decoded = positions.zip(raw.decoded);
    let mut entries: Vec<Entry> = decoded
        .map(|(position, raw)| {
            let account = check_account(position, &raw);
            Entry {
                position,
                account: account.map_err(|e| findings.push(e)).ok(),
                keys: raw.keys,
            }
        })
        .collect();
    entries.extend(raw.undecoded.into_iter().map(faulty));
    entries
}

fn faulty(raw: RawUndecodedAccount) -> Entry {
    Entry {
        position: raw.position,
        account: None,
        keys: raw.keys.unwrap_or_default(),
    }
}

fn check_account(position: usize, raw: &RawAccount) -> Result<Account, AccountFinding> {
    let error = |field, reason| Err(finding(position, field, reason));
    if !is_header_value(&raw.name) {
        return error(".name", "must be a text that a header can hold");
    }
    let is_amount = |value: f64| value.is_finite() && value >= 0.0;
    if !is_amount(raw.rate_per_s) {
        return error(".rate", "must be a finite number, 0 or above");
    }
    if !is_amount(raw.burst) {
        return error(".burst", "must be a finite number, 0 or above");
    }
    Ok(Account {
        name: raw.name.as_str().into(),
        key: AccountKey::of(&raw.name),
        rank: raw.rank.map(|rank| u8::try_from(rank).unwrap_or(u8::MAX)),
        quota: (raw.rate_per_s > 0.0).then_some(Quota {
            rate_per_s: raw.rate_per_s,
            burst: raw.burst,
        }),
    })
}

/// Returns `true` if a header can hold `text` so that it arrives unchanged.
fn is_header_value(text: &str) -> bool {
    !text.is_empty() && text.trim() == text && text.bytes().all(|b| (b' '..=b'~').contains(&b))
}

/// Takes all entries with the same name out of use: they may differ in rank and quota. Names are
/// compared by their keys for decisions, which must not be shared either.
fn refuse_doubled_names(entries: &mut [Entry], findings: &mut Vec<AccountFinding>) {
    let mut uses: HashMap<AccountKey, usize> = HashMap::default();
    for account in entries.iter().filter_map(|entry| entry.account.as_ref()) {
        *uses.entry(account.key).or_default() += 1;
    }
    for entry in entries {
        let key = entry.account.as_ref().map(|account| account.key);
        if key.is_some_and(|key| uses.get(&key).is_some_and(|n| *n > 1)) {
            entry.account = None;
            let reason = "another account has the same name";
            findings.push(finding(entry.position, ".name", reason));
        }
    }
}

fn add_keys(
    directory: &mut AccountDirectory,
    entries: Vec<Entry>,
    findings: &mut Vec<AccountFinding>,
) {
    let mut held_by: HashMap<Box<[u8]>, usize> = HashMap::default();
    for entry in entries {
        let account = entry.account.map(|account| account.key);
        let holder = account.and_then(|key| {
            let accounts = &directory.accounts;
            accounts.binary_search_by_key(&key, |a| a.key).ok()
        });
        for (i, key) in entry.keys.into_iter().enumerate() {
            let field = format!(".keys[{i}]");
            if !is_header_value(&key) {
                let reason = "must be a text that a header can hold";
                findings.push(finding(entry.position, &field, reason));
                continue;
            }
            let key: Box<[u8]> = key.into_bytes().into();
            let is_of_another = held_by
                .insert(key.clone(), entry.position)
                .is_some_and(|position| position != entry.position);
            if is_of_another {
                let reason = "another account holds the same key";
                findings.push(finding(entry.position, &field, reason));
            }
            let holder = holder.filter(|_| !is_of_another);
            let known = directory.holders.entry(key).or_insert(holder);
            if is_of_another {
                *known = None;
            }
        }
    }
}
