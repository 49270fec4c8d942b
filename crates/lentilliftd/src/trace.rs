//! Creates the state machines of a process, optionally recording their decisions.

use lentillift_core::id;
use lentillift_settings::daemon::Settings;
use lentillift_trace::core::Core;
use lentillift_trace::line::Head;
use lentillift_trace::line::VERSION;
use lentillift_trace::record::Recorder;
use lentillift_trace::record::Traced;
use std::path::Path;
use tracing::warn;

/// Creates a state machine whose random generator is seeded with `seed`, and starts a trace of its
/// decisions if a directory is given.
pub(crate) fn start<C>(
    settings: &Settings,
    incarnation: id::Incarnation,
    seed: u64,
    directory: Option<&Path>,
) -> Traced<C>
where
    C: Core,
{
    let head = Head {
        trace: VERSION,
        part: C::KIND,
        host: settings.host.clone(),
        domain: Some(settings.domain.clone()),
        incarnation,
        seed,
        ticks: true,
        about: String::new(),
    };
    let recorder = directory.and_then(|directory| {
        let name = format!("{}-{:?}.jsonl", settings.host, C::KIND);
        let path = directory.join(name.to_lowercase());
        Recorder::start(&path, &head)
            .inspect_err(|error| warn!(%error, "cannot record a decision trace"))
            .ok()
    });
    Traced::new(C::start(&head), recorder)
}
