//! Daemons as processes, started as the deploy file starts them.

use crate::http::Connection;
use crate::http::Message;
use std::fs::File;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;
use std::time::Instant;

/// Program of `deploy/system.toml`, relative to the root of the repository.
const PROGRAM: &str = "target/release/lentilliftd-platform";

/// Zones of the deployment, all in one region.
const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];

/// Ports that all daemons of a run use, each at an IP address of its own.
#[derive(Debug, Clone, Copy)]
pub struct Ports([u16; 4]);

impl Ports {
    /// Chooses ports that are free at the addresses of the daemons, below the ephemeral ports.
    pub fn choose(daemons: u8) -> Option<Self> {
        let first = 20_000 + (std::process::id() % 1000 * 10) as u16;
        let mut free = (first..32_000).filter(|port| {
            (1..=daemons).all(|number| TcpListener::bind((ip(number).as_str(), *port)).is_ok())
        });
        Some(Self([
            free.next()?,
            free.next()?,
            free.next()?,
            free.next()?,
        ]))
    }
}

/// IP address of a daemon; differs between runs at the same time.
fn ip(number: u8) -> String {
    let [_, _, high, low] = std::process::id().to_be_bytes();
    format!("127.{}.{low}.{number}", high.max(1))
}

/// A running daemon; killed when dropped.
#[derive(Debug)]
pub struct Daemon {
    child: Child,
    /// Its address for callers.
    pub front: SocketAddr,
    /// Its address for questions whether it is ready.
    pub ready: SocketAddr,
    log: PathBuf,
}

impl Daemon {
    /// Starts a daemon named `name` in `zone`; its files are in `folder`.
    pub fn start(
        number: u8,
        name: &str,
        zone: &str,
        ports: Ports,
        store: SocketAddr,
        folder: &Path,
    ) -> std::io::Result<Self> {
        let Ports([front, ready, control, internal]) = ports;
        let ip = ip(number);
        let zones: Vec<String> = ZONES
            .iter()
            .map(|z| format!("\"{z}\":\"region\""))
            .collect();
        let zones = zones.join(",");
        let seed = self::ip(1);
        let settings = format!(
            "{{\"node_name\":\"{name}\",\"role\":\"gateway\",\"machine_class\":\"front\",\
             \"serves\":[\"front\",\"control_plane\"],\"ip\":\"{ip}\",\"zone\":\"{zone}\",\
             \"region\":\"region\",\"zones\":{{{zones}}},\
             \"listen\":{{\"front\":\"{ip}:{front}\",\"ready\":\"{ip}:{ready}\",\
             \"control\":\"{ip}:{control}\"}},\
             \"internal_port_range\":[{internal},{internal}],\"seeds\":[\"{seed}:{control}\"],\
             \"bootstrap\":true,\"loss_counts\":false,\
             \"limits\":{{\"cpu_share\":0.25,\"cores\":1,\"memory_mb\":260,\"max_fds\":4100,\
             \"link_mbps\":1000.0,\"disk_mb\":0}},\"data_dir\":null,\"discovery\":\"platform\",\
             \"entry\":\"virtual_ip\",\"heartbeat_ms\":1200,\
             \"bounds\":{{\"seed_lag_s\":3,\"addr_reuse_s\":2,\"contact_ms\":4000,\
             \"ack_timeout_ms\":5000,\"catch_up_s\":4,\"drain_ms\":3000,\"grace_s\":6,\
             \"loss_slack_ms\":200,\"config_apply_ms\":3000,\"downgrade_slack_ms\":250,\
             \"max_skew_ms\":12000,\"retry_budget_ratio\":0.2,\"budget_window_s\":10,\
             \"retry_budget_extra\":52,\"warmup_overage\":1.5,\"warmup_slack\":5,\
             \"evacuate_ms\":5000,\"recovery_s\":12}},\
             \"platform\":{{\"address\":\"{store}\",\"form\":\"read\",\"reads_per_s\":2000,\
             \"history_s\":20,\"value_bytes\":1048576}}}}"
        );
        let path = folder.join(format!("{name}.json"));
        std::fs::write(&path, settings)?;
        let log = folder.join(format!("{name}.log"));
        let child = Command::new(PROGRAM)
            .env("LENTILLIFT_CONFIG", &path)
            .stdin(Stdio::null())
            .stdout(File::create(&log)?)
            .stderr(Stdio::null())
            .spawn()?;
        let address = |port| SocketAddr::new(ip.parse().expect("an address"), port);
        Ok(Self {
            child,
            front: address(front),
            ready: address(ready),
            log,
        })
    }

    /// Waits until it is ready for callers; false if that takes ten seconds.
    pub fn wait_until_ready(&self) -> bool {
        let until = Instant::now() + Duration::from_secs(10);
        while Instant::now() < until {
            let asked = Connection::open(self.ready, Duration::from_secs(1));
            let question = Message::new("GET /ready HTTP/1.1", "").with("host", "ready");
            if let Ok(answer) = asked.and_then(|mut ready| ready.exchange(&question))
                && answer.status() == 200
            {
                return true;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        false
    }

    /// Sends a signal, such as `STOP`, with the shell's `kill`.
    pub fn signal(&self, name: &str) -> bool {
        let command = format!("kill -s {name} {}", self.child.id());
        let sent = Command::new("sh").args(["-c", &command]).status();
        sent.is_ok_and(|status| status.success())
    }

    /// Whether its process has ended.
    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    /// Its log so far.
    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        // It may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A new folder for temporary files; removed when dropped.
#[derive(Debug)]
pub struct Folder(pub PathBuf);

impl Folder {
    /// Creates the folder.
    pub fn create() -> std::io::Result<Self> {
        let name = format!("lentillift-review-{}", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path)?;
        Ok(Self(path))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        // Files that are left do no harm.
        let _ = std::fs::remove_dir_all(&self.0);
    }
}
