//! Encoding of membership packets as datagrams: one packet each, of bounded size.

use crate::gossip;
use lentillift_fleet::packet::Packet;

/// Largest datagram, in bytes; small enough that no network on the path fragments it.
pub const MAX_BYTES: usize = 1400;

/// Limit on the memory of a decoded packet, in bytes.
///
/// The decoder counts the size of a list in memory, which is larger than its size on the wire. With
/// [`MAX_BYTES`] as the bound it refused datagrams full of hosts with short names, and membership
/// updates did not spread.
const MAX_DECODED_BYTES: usize = 4 * MAX_BYTES;

/// Encodes a packet.
///
/// # Errors
///
/// If the datagram would be larger than [`MAX_BYTES`].
pub fn encode(packet: Packet) -> Result<Vec<u8>, String> {
    let packet = gossip::Packet::from(packet);
    let config = bincode::config::standard();
    let bytes = bincode::encode_to_vec(packet, config).map_err(|e| e.to_string())?;
    if bytes.len() > MAX_BYTES {
        return Err(format!(
            "datagram of {} bytes, at most {MAX_BYTES}",
            bytes.len()
        ));
    }
    Ok(bytes)
}

/// Decodes a datagram.
///
/// # Errors
///
/// If it is malformed, has trailing bytes or contains a member without a host name.
pub fn decode(bytes: &[u8]) -> Result<Packet, String> {
    let config = bincode::config::standard().with_limit::<MAX_DECODED_BYTES>();
    let (packet, used): (gossip::Packet, usize) =
        bincode::decode_from_slice(bytes, config).map_err(|e| e.to_string())?;
    if used != bytes.len() {
        return Err(format!("{} bytes after the packet", bytes.len() - used));
    }
    packet.try_into()
}
