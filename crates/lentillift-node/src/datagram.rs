//! Datagrams: one packet each, bounded in size.

use crate::gossip;
use lentillift_fleet::packet::Packet;

/// Largest datagram, in bytes; no network on the way has to split it.
pub const LIMIT: usize = 1400;

/// Memory that a packet may take when it is read, in bytes.
///
/// The decoder counts a list's room in memory, which is more than its room on the wire. Bounded by
/// [`LIMIT`] it refused datagrams full of hosts with short names, and news did not spread.
const MEMORY: usize = 4 * LIMIT;

/// Encodes a packet.
///
/// # Errors
///
/// When the datagram would be larger than [`LIMIT`].
pub fn encode(packet: Packet) -> Result<Vec<u8>, String> {
    let packet = gossip::Packet::from(packet);
    let config = bincode::config::standard();
    let bytes = bincode::encode_to_vec(packet, config).map_err(|e| e.to_string())?;
    if bytes.len() > LIMIT {
        return Err(format!(
            "datagram of {} bytes, at most {LIMIT}",
            bytes.len()
        ));
    }
    Ok(bytes)
}

/// Decodes a datagram.
///
/// # Errors
///
/// When it is malformed.
pub fn decode(bytes: &[u8]) -> Result<Packet, String> {
    let config = bincode::config::standard().with_limit::<MEMORY>();
    let (packet, used): (gossip::Packet, usize) =
        bincode::decode_from_slice(bytes, config).map_err(|e| e.to_string())?;
    if used != bytes.len() {
        return Err(format!("{} bytes after the packet", bytes.len() - used));
    }
    packet.try_into()
}
