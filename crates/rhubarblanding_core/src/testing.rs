//! Macro for tests with several named cases.

/// Declares one `#[test]` function for each named case of a check.
///
/// ```
/// fn halves(input: u32, expected: u32) {
///     assert_eq!(input / 2, expected);
/// }
///
/// rhubarblanding_core::cases! {
///     halves;
///     even: (4, 2);
///     odd_rounds_down: (5, 2);
/// }
/// ```
#[macro_export]
macro_rules! cases {
    ($check:path; $($name:ident: ($($arg:expr),* $(,)?);)+) => {
        $(
            #[test]
            fn $name() {
                $check($($arg),*);
            }
        )+
    };
}
