//! Types of names and numbers that identify hosts, services, shards, requests and so on.

use std::sync::Arc;

/// Name of a host that runs one of the system's processes.
pub type Host = Arc<str>;

/// Name of a failure domain.
pub type Domain = Arc<str>;

/// Name of a region: a group of failure domains near each other.
pub type Region = Arc<str>;

/// Name of a service.
pub type Service = Arc<str>;

/// Name of a backend server, unique over all services.
pub type Backend = Arc<str>;

/// Name of a caller, as its requests state it.
pub type Caller = Arc<str>;

/// Name of a priority class.
pub type Class = Arc<str>;

/// Number of a shard, unique within the shard map of one snapshot.
pub type Shard = u32;

/// Number of an index snapshot; newer snapshots have higher numbers.
pub type Snapshot = u64;

/// Revision of a published value; later publications have higher numbers.
pub type Revision = u64;

/// Identifies one run of a process; it differs at each start.
pub type Incarnation = u64;

/// Number of a sub-request, unique within the incarnation that created it.
pub type Sub = u64;

/// Number of a caller's request, unique within the incarnation that received it.
pub type Request = u64;
