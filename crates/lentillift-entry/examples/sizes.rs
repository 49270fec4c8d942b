//! Prints the sizes of the state of decisions, in bytes, which `docs/design/policy.md` quotes.

use lentillift_owner::server::Server;
use lentillift_policy::admission::Admission;
use lentillift_policy::choice::Loads;
use lentillift_policy::hedge::Hedge;
use lentillift_policy::retry::Retry;
use lentillift_policy::share::Shares;
use std::mem::size_of;

fn main() {
    println!("owner, each backend server: {}", size_of::<Server>());
    println!("entry, each backend server: {}", Loads::BYTES_PER_BACKEND);
    println!("each caller lately served: {}", Shares::BYTES_PER_CALLER);
    println!("entry, each service: admission {}", size_of::<Admission>());
    println!("entry, each service: hedges {}", size_of::<Hedge>());
    println!("entry, each service: retries {}", size_of::<Retry>());
}
