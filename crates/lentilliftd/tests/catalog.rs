//! Every series that the sources name has a description for `/metrics`.

use lentillift_operator::catalog;
use std::collections::BTreeSet;
use std::fs;
use std::path::Path;

/// What series' names begin with.
const PREFIX: &str = "\"lentillift_";

/// Collects the names of series in all sources below `directory`.
fn collect(directory: &Path, names: &mut BTreeSet<String>) {
    for entry in fs::read_dir(directory).expect("directory") {
        let path = entry.expect("entry").path();
        if path.is_dir() {
            collect(&path, names);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            let text = fs::read_to_string(&path).expect("source");
            let quoted = text.split(PREFIX).skip(1);
            let ends = quoted.filter_map(|rest| rest.split('"').next());
            // Paths of modules stand in quotes too.
            let ends = ends.filter(|end| !end.contains(':'));
            names.extend(ends.map(|end| format!("lentillift_{end}")));
        }
    }
}

#[test]
fn every_series_is_described() {
    let crates = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    let mut names = BTreeSet::new();
    for entry in fs::read_dir(crates).expect("crates") {
        collect(&entry.expect("entry").path().join("src"), &mut names);
    }
    assert!(names.contains("lentillift_shards_total"));
    names.retain(|name| catalog::help(name).is_none());
    assert!(
        names.is_empty(),
        "add to lentillift_operator::catalog: {names:?}"
    );
}
