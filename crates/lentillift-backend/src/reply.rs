//! Parsing of replies of backend servers.

use lentillift_core::hit;
use lentillift_core::hit::Hit;
use lentillift_core::id;
use serde::Deserialize;
use serde_json::value::RawValue;

/// Maximum size of a reply's body, in bytes; a larger reply is malformed.
pub const BODY_LIMIT: u64 = 1024 * 1024;

/// The body of a search reply.
#[derive(Debug, Deserialize)]
struct Body<'a> {
    snapshot: id::Snapshot,
    shard: id::Shard,
    #[serde(borrow)]
    hits: Vec<&'a RawValue>,
}

/// The fields of a hit that are read; the others are opaque.
#[derive(Debug, Deserialize)]
struct HitHead {
    id: String,
    score: f64,
}

/// Parses the hits of one shard and sorts them by [`hit::order`].
///
/// # Errors
///
/// If the body is not JSON of the expected shape, a score is not finite, or the snapshot or shard
/// is not the requested one. The error describes the mismatch.
pub fn hits(body: &[u8], snapshot: id::Snapshot, shard: id::Shard) -> Result<Vec<Hit>, String> {
    let body: Body<'_> = serde_json::from_slice(body).map_err(|e| e.to_string())?;
    if (body.snapshot, body.shard) != (snapshot, shard) {
        return Err(format!(
            "found snapshot {} shard {}, expected snapshot {snapshot} shard {shard}",
            body.snapshot, body.shard
        ));
    }
    let hits = body.hits.into_iter().map(parse_hit);
    let mut hits = hits.collect::<Result<Vec<_>, _>>()?;
    hits.sort_by(hit::order);
    Ok(hits)
}

fn parse_hit(json: &RawValue) -> Result<Hit, String> {
    let head: HitHead = serde_json::from_str(json.get()).map_err(|e| e.to_string())?;
    if !head.score.is_finite() {
        return Err(format!("hit `{}`: score is not finite", head.id));
    }
    Ok(Hit {
        id: head.id,
        score: head.score,
        json: json.get().to_owned(),
    })
}
