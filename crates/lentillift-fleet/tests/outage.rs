//! Failed calls to the service that publishes: an outage, or a host that is cut off.

use lentillift_core::time::Time;
use lentillift_fleet::follow::outage::Evidence;
use lentillift_fleet::follow::outage::Witnesses;

fn at(seconds: u64) -> Time {
    Time::from_secs(seconds)
}

/// A piece of evidence, with its time in seconds.
enum Piece {
    /// A call of this host failed.
    Own(u64),
    /// A call of another host failed.
    Other(u64),
    /// The host that read the state reports an outage.
    Report(u64),
}
use Piece::Other;
use Piece::Own;
use Piece::Report;

fn evidence(pieces: &[Piece]) -> Evidence {
    let mut evidence = Evidence::default();
    for piece in pieces {
        match piece {
            Own(seconds) => evidence.record_own_failure(at(*seconds)),
            Other(seconds) => evidence.record_other_failure(at(*seconds)),
            Report(seconds) => evidence.record_report(at(*seconds)),
        }
    }
    evidence
}

/// Each case is the evidence, and the time of the outage that it proves to a host with others
/// beside it. If one host's failures proved an outage, hosts with a sound link would use servers
/// that have left; if nothing did, all servers would be dropped after an outage.
macro_rules! outages {
    ($($name:ident: $pieces:expr => $outage_at:expr;)*) => {$(
        #[test]
        fn $name() {
            let outage_at: Option<u64> = $outage_at;
            let found = evidence(&$pieces).outage_at(Witnesses::Others);
            assert_eq!(found, outage_at.map(at));
        }
    )*};
}

outages! {
    nothing_failed: [] => None;
    only_this_host_failed: [Own(5)] => None;
    only_other_hosts_failed: [Other(5), Other(6)] => None;
    this_host_and_another_failed: [Own(5), Other(4)] => Some(4);
    another_host_failed_later: [Own(5), Other(4), Other(9)] => Some(5);
    an_older_failure_changes_nothing: [Own(5), Other(4), Own(3), Other(2)] => Some(4);
    hosts_were_cut_off_at_different_times: [Other(1), Own(90)] => Some(1);
    the_reader_reports_an_outage: [Report(5)] => Some(5);
    the_reader_reports_an_earlier_outage: [Report(2), Own(5), Other(4)] => Some(4);
    the_reader_reports_an_outage_to_a_host_that_was_cut_off: [Own(9), Report(5)] => Some(5);
}

/// A host without others to hear of would never detect an outage, and drop all servers after it.
#[test]
fn a_host_that_is_alone_relies_on_its_own_calls() {
    assert_eq!(evidence(&[Own(5)]).outage_at(Witnesses::Own), Some(at(5)));
    assert_eq!(evidence(&[Other(5)]).outage_at(Witnesses::Own), None);
}
