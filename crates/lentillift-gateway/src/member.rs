//! Membership protocol over UDP.

use crate::dialect::Dialect;
use crate::host::Host;
use crate::metric;
use crate::source::Source;
use lentillift_fleet::swim;
use lentillift_fleet::swim::Effect;
use lentillift_node::datagram;
use std::rc::Rc;
use tokio::net::UdpSocket;
use tracing::info;

/// Runs the membership protocol until the process ends.
pub async fn run<D, S>(host: Rc<Host<D, S>>, socket: Rc<UdpSocket>)
where
    D: Dialect,
    S: Source,
{
    let mut ticks = tokio::time::interval(swim::TICK);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut buffer = vec![0; datagram::MAX_BYTES];
    loop {
        let effects = tokio::select! {
            received = socket.recv_from(&mut buffer) => match received {
                Ok((length, _)) => receive(&host, &buffer[..length]),
                // A peer's port is closed; the probe of it times out.
                Err(_) => Vec::new(),
            },
            _ = ticks.tick() => host.swim.borrow_mut().tick(host.now()),
        };
        apply_effects(&host, &socket, effects);
    }
}

fn receive<D, S>(host: &Host<D, S>, bytes: &[u8]) -> Vec<Effect>
where
    D: Dialect,
    S: Source,
{
    match datagram::decode(bytes) {
        Ok(packet) => host.swim.borrow_mut().packet(host.now(), packet),
        Err(error) => {
            host.metrics.count(metric::MALFORMED, "datagram");
            tracing::debug!(event = "datagram", error, "malformed");
            Vec::new()
        }
    }
}

/// Carries out the effects of the membership protocol.
pub fn apply_effects<D, S>(host: &Host<D, S>, socket: &UdpSocket, effects: Vec<Effect>)
where
    D: Dialect,
    S: Source,
{
    let mut changed = false;
    for effect in effects {
        match effect {
            Effect::Packet(address, packet) => match datagram::encode(packet) {
                // A datagram that can't be sent now counts as lost; probes are repeated.
                Ok(bytes) => drop(socket.try_send_to(&bytes, address)),
                Err(error) => info!(event = "datagram", error, "datagram not encoded"),
            },
            Effect::Changed(member) => {
                changed = true;
                info!(
                    event = "host",
                    host = %member.host,
                    stage = ?member.stage,
                    health = ?member.health,
                    version = member.version,
                    "changed"
                );
            }
        }
    }
    if changed {
        host.update_hosts();
    }
}
