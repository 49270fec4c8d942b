//! Resolver that returns a fixed address, since backend servers are configured by IP address.
//!
//! The client library's default resolver starts a thread for each request that has a timeout, in
//! case the name service hangs. Those threads take half of a process's time, although there is no
//! name to look up.

use std::net::SocketAddr;
use ureq::Error;
use ureq::config::Config;
use ureq::http::Uri;
use ureq::unversioned::resolver::ResolvedSocketAddrs;
use ureq::unversioned::resolver::Resolver;
use ureq::unversioned::transport::NextTimeout;

/// A resolver that returns the same address for every URI.
#[derive(Debug, Clone, Copy)]
pub(crate) struct FixedResolver(pub(crate) SocketAddr);

impl Resolver for FixedResolver {
    fn resolve(
        &self,
        _uri: &Uri,
        _config: &Config,
        _timeout: NextTimeout,
    ) -> Result<ResolvedSocketAddrs, Error> {
        let mut addresses = self.empty();
        addresses.push(self.0);
        Ok(addresses)
    }
}
