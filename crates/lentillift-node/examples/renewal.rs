//! Prints the size of a lease renewal on the wire, in bytes without TCP and HTTP/2 overhead, by
//! number of leases.

use lentillift_fleet::grant::Claim;
use lentillift_fleet::grant::Verdict;
use lentillift_node::frame;
use lentillift_node::message::Message;
use std::time::Duration;

fn main() {
    println!("leases claims_bytes verdicts_bytes");
    for count in [1_u64, 4, 16] {
        let sent = Duration::from_secs(86_400);
        let name = |number: u64| format!("notice-search-01-{number}").into();
        let claim = |number| Claim {
            backend: name(number),
            attempt: 1000 + number,
            ceded_by: None,
            revision: 410,
            sealed: 410,
        };
        let claims = (0..count).map(claim).collect();
        let claims = frame::encode(vec![Message::Claims { sent, claims }]);
        let verdict = |number| (name(number), 1000 + number, Verdict::Granted);
        let verdicts = (0..count).map(verdict).collect();
        let verdicts = frame::encode(vec![Message::Verdicts { sent, verdicts }]);
        let length = |frame: Result<bytes::Bytes, String>| frame.map_or(0, |frame| frame.len());
        println!("{count} {} {}", length(claims), length(verdicts));
    }
}
