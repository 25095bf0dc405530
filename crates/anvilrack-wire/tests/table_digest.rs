//! The summary of a shortened digest changes with every version in the full digest. Otherwise a
//! member with an outdated table would look up to date and would not be sent the newer records.

use anvilrack_wire::TableDigest;

fn digest(bookings: u64, viewer: u64, revision: u64) -> TableDigest {
    TableDigest {
        cells: vec![("bookings".into(), bookings), ("viewer".into(), viewer)],
        revision,
        summary: None,
    }
}

macro_rules! summary_tests {
    ($($name:ident: $one:expr, $other:expr => $same:literal;)*) => {
        $(
            #[test]
            fn $name() {
                let shortened = $one.shortened("bookings");
                assert_eq!(shortened.summary == Some($other.hash()), $same);
            }
        )*
    };
}

summary_tests! {
    equal_tables_have_equal_summaries: digest(3, 4, 5), digest(3, 4, 5) => true;
    another_version_of_own_cell_changes_summary: digest(3, 4, 5), digest(4, 4, 5) => false;
    another_version_of_other_cell_changes_summary: digest(3, 4, 5), digest(3, 5, 5) => false;
    another_revision_changes_summary: digest(3, 4, 5), digest(3, 4, 6) => false;
    missing_cells_change_summary: digest(3, 4, 5), TableDigest::default() => false;
}

#[test]
fn shortened_digest_lists_only_own_cell() {
    let shortened = digest(3, 4, 5).shortened("viewer");
    assert_eq!(shortened.cells, vec![("viewer".into(), 4)]);
    assert_eq!(shortened.revision, 5);
}
