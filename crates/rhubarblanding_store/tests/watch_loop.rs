//! The watch loop through outages, and its back-off.

use std::net::SocketAddr;
use std::time::Duration;

use googletest::prelude::*;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rhubarblanding_standins::store::{Faults, StoreServer};
use rhubarblanding_store::backoff::{Backoff, BackoffSettings};
use rhubarblanding_store::prelude::*;
use rhubarblanding_store::watch::WatchEvent;

const SETTINGS: BackoffSettings = BackoffSettings {
    first: Duration::from_millis(10),
    max: Duration::from_millis(40),
};

#[test]
fn backoff_doubles_with_jitter_and_starts_again() {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut backoff = Backoff::new(SETTINGS);
    for ceiling in [10, 20, 40, 40] {
        let delay = backoff.next_delay(&mut rng);
        let ceiling = Duration::from_millis(ceiling);
        assert_that!(delay, all![ge(ceiling / 2), le(ceiling)]);
    }
    backoff.reset();
    assert_that!(backoff.next_delay(&mut rng), le(SETTINGS.first));
}

#[tokio::test]
async fn loop_survives_an_outage_and_misses_no_newest_value() {
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let server = StoreServer::start(any_port).await.expect("a free port");
    let client = StoreClient::new(StoreSettings {
        addr: server.addr(),
        ..StoreSettings::default()
    });
    let key = Key::from_static("followed");
    let settings = WatchSettings {
        wait: Duration::from_millis(500),
        backoff: SETTINGS,
    };
    let mut watch = WatchLoop::new(client.clone(), key.clone(), settings, 1);
    let put = client.compare_and_swap(&key, Revision::ABSENT, "one".into());
    assert_that!(put.await, ok(eq(&CasOutcome::Stored(Revision(1)))));
    assert_that!(value_of(watch.next().await).as_str(), eq("one"));

    server.set_faults(Faults {
        outage: true,
        ..Faults::default()
    });
    let waited = tokio::time::timeout(Duration::from_millis(150), watch.next()).await;
    assert_that!(waited, err(anything()));
    assert_that!(watch.is_reachable(), eq(false));
    assert_that!(server.calls().watch, le(20));

    server.set_faults(Faults::default());
    let put = client.compare_and_swap(&key, Revision(1), "two".into());
    assert_that!(put.await, ok(anything()));
    assert_that!(value_of(watch.next().await).as_str(), eq("two"));
    assert_that!(watch.is_reachable(), eq(true));
}

fn value_of(event: WatchEvent) -> String {
    match event {
        WatchEvent::Changed(new) => String::from_utf8_lossy(&new.value).into_owned(),
        WatchEvent::Removed(_) => String::new(),
    }
}
