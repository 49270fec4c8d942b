//! Every metric named in the sources has a description for `/metrics`.

use lentillift_operator::catalog;
use std::collections::BTreeSet;
use std::fs;
use std::path::Path;

/// Start of a string literal that holds a metric name.
const METRIC_PREFIX: &str = "\"lentillift_";

/// Adds the metric names in all source files below `directory` to `names`.
fn collect(directory: &Path, names: &mut BTreeSet<String>) {
    for entry in fs::read_dir(directory).expect("directory") {
        let path = entry.expect("entry").path();
        if path.is_dir() {
            collect(&path, names);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            let text = fs::read_to_string(&path).expect("source");
            let quoted = text.split(METRIC_PREFIX).skip(1);
            let ends = quoted.filter_map(|rest| rest.split('"').next());
            // Module paths also occur in string literals.
            let ends = ends.filter(|end| !end.contains(':'));
            names.extend(ends.map(|end| format!("lentillift_{end}")));
        }
    }
}

#[test]
fn every_metric_has_a_description() {
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
