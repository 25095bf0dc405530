//! Short digests stand for full ones.

use anvilrack_wire::TableDigest;

fn digest(bookings: u64, viewer: u64, revision: u64) -> TableDigest {
    TableDigest {
        cells: vec![("bookings".into(), bookings), ("viewer".into(), viewer)],
        revision,
        summary: None,
    }
}

macro_rules! summary_cases {
    ($($name:ident: $one:expr, $other:expr => $same:literal;)*) => {
        $(
            #[test]
            fn $name() {
                let short = $one.shortened("bookings");
                assert_eq!(short.summary == Some($other.hash()), $same);
            }
        )*
    };
}

summary_cases! {
    equal_tables_have_the_same_summary: digest(3, 4, 5), digest(3, 4, 5) => true;
    another_version_of_the_own_cell_shows: digest(3, 4, 5), digest(4, 4, 5) => false;
    another_version_of_another_cell_shows: digest(3, 4, 5), digest(3, 5, 5) => false;
    another_revision_shows: digest(3, 4, 5), digest(3, 4, 6) => false;
    a_cell_that_is_not_known_shows: digest(3, 4, 5), TableDigest::default() => false;
}

#[test]
fn a_short_digest_names_the_own_cell_alone() {
    let short = digest(3, 4, 5).shortened("viewer");
    assert_eq!(short.cells, vec![("viewer".into(), 4)]);
    assert_eq!(short.revision, 5);
}
