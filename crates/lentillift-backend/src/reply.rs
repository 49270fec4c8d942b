//! Making sense of a backend server's reply.

use lentillift_core::hit;
use lentillift_core::hit::Hit;
use lentillift_core::id;
use serde::Deserialize;
use serde_json::value::RawValue;

/// Largest reply that is read, in bytes.
pub const BODY_LIMIT: u64 = 1024 * 1024;

/// A search reply as it stands on the wire.
#[derive(Debug, Deserialize)]
struct Body<'a> {
    snapshot: id::Snapshot,
    shard: id::Shard,
    #[serde(borrow)]
    hits: Vec<&'a RawValue>,
}

/// The part of a hit that is not opaque.
#[derive(Debug, Deserialize)]
struct Head {
    id: String,
    score: f64,
}

/// Parses the hits of one shard, sorted.
///
/// # Errors
///
/// Says what is wrong when the body is not JSON of the right shape, or is for another snapshot or
/// shard than was asked for.
pub fn hits(body: &[u8], snapshot: id::Snapshot, shard: id::Shard) -> Result<Vec<Hit>, String> {
    let body: Body<'_> = serde_json::from_slice(body).map_err(|e| e.to_string())?;
    if (body.snapshot, body.shard) != (snapshot, shard) {
        return Err(format!(
            "found snapshot {} shard {}, asked for snapshot {snapshot} shard {shard}",
            body.snapshot, body.shard
        ));
    }
    let hits = body.hits.into_iter().map(one_hit);
    let mut hits = hits.collect::<Result<Vec<_>, _>>()?;
    hits.sort_by(hit::order);
    Ok(hits)
}

fn one_hit(json: &RawValue) -> Result<Hit, String> {
    let head: Head = serde_json::from_str(json.get()).map_err(|e| e.to_string())?;
    if !head.score.is_finite() {
        return Err(format!("hit `{}`: score is not finite", head.id));
    }
    Ok(Hit {
        id: head.id,
        score: head.score,
        json: json.get().to_owned(),
    })
}
