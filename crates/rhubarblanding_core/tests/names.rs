//! Validation of names and idempotency keys.

use googletest::prelude::*;
use rhubarblanding_core::names::InvalidName;
use rhubarblanding_core::prelude::*;

fn name_is(raw: &str, expected: std::result::Result<(), InvalidName>) {
    assert_that!(ServiceName::try_from(raw).map(|_| ()), eq(expected));
}

rhubarblanding_core::cases! {
    name_is;
    plain: ("catalogo-web", Ok(()));
    empty: ("", Err(InvalidName::Empty));
    upper_case: ("Turnos", Err(InvalidName::Character));
    leading_dash: ("-a", Err(InvalidName::Character));
    too_long: (&"a".repeat(64), Err(InvalidName::TooLong));
}

#[test]
fn key_contains_its_creation_time() {
    let key = IdempotencyKey::mint(UnixMillis(1_700_000_000_123), [7; 10]);
    assert_that!(key.minted_at(), eq(UnixMillis(1_700_000_000_123)));
    assert_that!(
        IdempotencyKey::try_from(key.to_string().as_str()),
        ok(eq(key))
    );
}

#[test]
fn key_of_another_version_is_refused() {
    let raw = "936da01f-9abd-4d9d-80c7-02af85c822a8";
    assert_that!(IdempotencyKey::try_from(raw), err(anything()));
}
