//! Names of the platform's protocol and its documents, which stand in files beside the sources.

const NAMES: &str = include_str!("../wire/names.txt");

/// Returns the platform's name for `what`.
pub fn wire(what: &str) -> &'static str {
    let mut names = NAMES.lines().filter_map(|line| line.split_once(' '));
    names
        .find_map(|(known, name)| (known == what).then_some(name))
        .expect("a name in the file")
}
