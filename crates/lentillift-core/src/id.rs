//! Names and numbers by which things are told apart.

use std::sync::Arc;

/// Name of a host that runs one of the system's processes.
pub type Host = Arc<str>;

/// Name of a failure domain.
pub type Domain = Arc<str>;

/// Name of a region, which holds failure domains.
pub type Region = Arc<str>;

/// Name of a service.
pub type Service = Arc<str>;

/// Name of a backend server, unique over all services.
pub type Backend = Arc<str>;

/// Name by which a caller presents itself.
pub type Caller = Arc<str>;

/// Name of a priority class.
pub type Class = Arc<str>;

/// Number of a shard within one snapshot's map.
pub type Shard = u32;

/// Number of an index snapshot; newer snapshots have higher numbers.
pub type Snapshot = u64;

/// Number of a published value's revision; it only rises.
pub type Revision = u64;

/// Number of one start of a process, different at each start.
pub type Incarnation = u64;

/// Number of a sub-request, unique within the incarnation that made it.
pub type Sub = u64;

/// Number of a caller's request, unique within the incarnation that took it.
pub type Request = u64;
