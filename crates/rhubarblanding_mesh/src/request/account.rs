//! Client account of a request, and whether this node may decide on its key.

use std::time::Duration;

use http::header::{HeaderMap, HeaderName, HeaderValue};
use rhubarblanding_accounts::directory::{Account, Holder};
use rhubarblanding_accounts::quota::Quota;
use rhubarblanding_core::prelude::*;

use crate::process::{Evidence, Lineage, Shared};
use crate::version::{ChosenRoute, Version};

/// `Retry-After` while this node cannot decide on a key: its knowledge is usually renewed within a
/// second.
const OUTDATED_RETRY_AFTER: Duration = Duration::from_millis(500);
/// `Retry-After` for an account with a fault, which lasts until the operators write a new version.
const UNUSABLE_ACCOUNT_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Account of a request.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ClientAccount {
    pub(super) key: AccountKey,
    /// Urgency that takes precedence over that of the route.
    pub(super) rank: Option<u8>,
    /// Limit that the request is charged to; `None` for calls as well.
    quota: Option<Quota>,
    /// That the version by which a key was admitted was in force.
    admission: Option<Evidence>,
}

/// Removes the client's key and sets the name of its account for the target.
///
/// # Errors
///
/// Fails with the refusal of a request whose key is missing, unknown, or cannot be decided on.
pub(super) fn identify(
    node: &Shared,
    (version, evidence): (&Version, Evidence),
    route: &ChosenRoute,
    headers: &mut HeaderMap,
    lineage: Option<Lineage>,
) -> Result<ClientAccount, Refusal> {
    let names = node.protocol.headers();
    let credential = take_credential(headers, &names.credential);
    headers.remove(&names.account);
    let accounts = &version.configuration().accounts;
    if accounts.is_empty() {
        return Ok(ClientAccount::default());
    }
    let (account, admission) = match lineage {
        Some(lineage) => {
            let inherited = ClientAccount {
                key: lineage.account,
                ..ClientAccount::default()
            };
            let Some(account) = accounts.get(lineage.account) else {
                return Ok(inherited);
            };
            (account, None)
        }
        None if route.route().anonymous => return Ok(ClientAccount::default()),
        None => admit(node, (version, evidence), headers, credential.as_ref())?,
    };
    if let Ok(name) = HeaderValue::try_from(&*account.name) {
        headers.insert(names.account.clone(), name);
    }
    Ok(ClientAccount {
        key: account.key,
        rank: account.rank,
        quota: account.quota.filter(|_| lineage.is_none()),
        admission,
    })
}

/// Removes the key; it is never forwarded, also where none is needed. Of two keys none counts.
fn take_credential(headers: &mut HeaderMap, name: &HeaderName) -> Option<HeaderValue> {
    let is_ambiguous = headers.get_all(name).iter().count() > 1;
    let credential = headers.remove(name);
    credential.filter(|value| !value.is_empty() && !is_ambiguous)
}

fn admit<'a>(
    node: &Shared,
    (version, evidence): (&'a Version, Evidence),
    headers: &HeaderMap,
    credential: Option<&HeaderValue>,
) -> Result<(&'a Account, Option<Evidence>), Refusal> {
    let accounts = &version.configuration().accounts;
    let holder = credential.map_or(Holder::Nobody, |key| accounts.holder(key.as_bytes()));
    let number = version.number();
    let now = node.clock.now();
    let known_at = evidence.known_at(node);
    let bounds = node.settings().accounts;
    let refuse = |refusal, account: Option<&Account>| {
        let age = known_at.map(|at| now.since(at));
        let id = headers.get(&node.protocol.headers().request_id);
        let name = account.map(|account| &*account.name);
        node.log_account_refusal(id, refusal, name, (number, age));
        Err(refusal)
    };
    let is_fresh =
        |bound| bounds.withdrawal.is_none() || known_at.is_some_and(|at| now.since(at) < bound);
    match holder {
        Holder::Account(account) => {
            let bound = bounds.withdrawal.unwrap_or(Duration::MAX);
            if !is_fresh(bound) {
                return refuse(outdated(), Some(account));
            }
            Ok((account, Some(evidence)))
        }
        Holder::Faulty => {
            let unusable = ErrorKind::UnusableAccount;
            let refusal = Refusal::with_retry_after(unusable, UNUSABLE_ACCOUNT_RETRY_AFTER);
            refuse(refusal, None)
        }
        // A call of a request that ran before this node was restarted carries no key.
        Holder::Nobody if credential.is_none() && is_like_call(node, headers) => {
            refuse(outdated(), None)
        }
        // A newer version may hold the key, or need none.
        Holder::Nobody if !is_fresh(bounds.adoption) => refuse(outdated(), None),
        Holder::Nobody => refuse(Refusal::new(ErrorKind::UnknownCredential), None),
    }
}

fn outdated() -> Refusal {
    Refusal::with_retry_after(ErrorKind::AccountsOutdated, OUTDATED_RETRY_AFTER)
}

fn is_like_call(node: &Shared, headers: &HeaderMap) -> bool {
    let id = headers.get(&node.protocol.headers().request_id);
    id.is_some_and(|id| !node.protocol.possible_parents(id.as_bytes()).is_empty())
}

impl ClientAccount {
    /// Charges the request to the quota of its account. Calls have been charged as a part of the
    /// request that made them.
    ///
    /// # Errors
    ///
    /// Fails with the refusal of a request beyond the quota, or whose quota cannot be checked.
    pub(super) async fn charge(&self, node: &Shared, id: &HeaderValue) -> Result<(), Refusal> {
        match self.quota {
            Some(quota) => node.quotas.admit(node, id, self.key, quota).await,
            None => Ok(()),
        }
    }

    /// Checks that the knowledge on which the key was admitted still holds: the process may have
    /// been paused since, or the body slow to arrive.
    ///
    /// # Errors
    ///
    /// Fails with the refusal of a request that must not be forwarded.
    pub(super) fn check(&self, node: &Shared, id: &HeaderValue) -> Result<(), Refusal> {
        let withdrawal = node.settings().accounts.withdrawal;
        let (Some(admission), Some(bound)) = (self.admission, withdrawal) else {
            return Ok(());
        };
        let now = node.clock.now();
        let age = admission.known_at(node).map(|at| now.since(at));
        if age.is_some_and(|age| age < bound) {
            return Ok(());
        }
        node.log_account_refusal(Some(id), outdated(), None, (admission.version(), age));
        Err(outdated())
    }
}
