//! Placement tokens are unchanged by formatting and parsing, and other text is rejected.

use base_types::{PlacementToken, test_cases};

fn check_parse(text: &str, expected: Option<PlacementToken>) {
    let parsed = text.parse::<PlacementToken>().ok();
    assert_eq!(parsed, expected);
    if let Some(token) = parsed {
        assert_eq!(token.to_string(), text);
    }
}

test_cases! {
    check_parse:
    two_targets(
        "00000000000000ff-0000000000000001",
        Some(PlacementToken { last: 255, previous: 1 }),
    );
    empty("", None);
    one_hash("00000000000000ff", None);
    too_short("ff-1", None);
    a_leading_plus_sign("+0000000000000ff-0000000000000001", None);
    not_ascii("00000000000000fé-0000000000000001", None);
}

#[test]
fn a_move_keeps_the_previous_target() {
    let token = PlacementToken::new(1).with_latest(2);
    assert_eq!(token, PlacementToken { last: 2, previous: 1 });
    assert_eq!(token.with_latest(2), token);
    assert_eq!(token.with_latest(1), PlacementToken { last: 1, previous: 2 });
}
