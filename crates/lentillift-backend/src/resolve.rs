//! Resolution of a backend server's name, which is a number already.
//!
//! The library's own resolver starts a thread for each request that has a timeout, in case the
//! name service hangs. Backend servers are known by IP number, so that there is nothing to look
//! up; without this module half of a process's time goes into those threads.

use std::net::SocketAddr;
use ureq::Error;
use ureq::config::Config;
use ureq::http::Uri;
use ureq::unversioned::resolver::ResolvedSocketAddrs;
use ureq::unversioned::resolver::Resolver;
use ureq::unversioned::transport::NextTimeout;

/// A resolver that knows one address.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Fixed(pub(crate) SocketAddr);

impl Resolver for Fixed {
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
