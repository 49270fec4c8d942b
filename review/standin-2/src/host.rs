//! Hosts: the project's daemon as a process, with settings like those of a small deployment.

use crate::record::Record;
use crate::store::Link;
use crate::store::Store;
use crate::store::listen;
use std::fs::File;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// The program that the deploy file names.
const PROGRAM: &str = "target/release/lentilliftd-platform";

/// A host of the system.
#[derive(Debug)]
pub struct Host {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub link: Arc<Link>,
    settings: PathBuf,
    folder: PathBuf,
    process: Child,
}

impl Host {
    /// Starts the daemon.
    fn spawn(settings: &Path, folder: &Path, name: &str) -> Child {
        let log = File::options()
            .create(true)
            .append(true)
            .open(folder.join(format!("{name}.log")));
        let log = log.expect("a log file");
        let process = Command::new(PROGRAM)
            .env("LENTILLIFT_CONFIG", settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a second handle"))
            .stderr(log)
            .spawn()
            .expect("the daemon starts; it is built by the command of the deploy file");
        let pids = File::options()
            .create(true)
            .append(true)
            .open(folder.join("pids"));
        let written = pids.and_then(|mut pids| writeln!(pids, "{}", process.id()));
        written.expect("the id of the process is noted");
        process
    }

    /// Kills the process, as `SIGKILL` does.
    pub fn kill(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }

    /// Starts a new process of this host.
    pub fn start_again(&mut self) {
        self.process = Self::spawn(&self.settings, &self.folder, &self.name);
    }

    /// Whether it says that it is ready for requesters.
    pub fn is_ready(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect(self.ready) else {
            return false;
        };
        let _ = stream.set_read_timeout(Some(Duration::from_millis(500)));
        let _ = stream.write_all(b"GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n");
        let mut reader = std::io::BufReader::new(stream);
        crate::http::read(&mut reader)
            .ok()
            .flatten()
            .is_some_and(|reply| reply.status() == 200)
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Starts one host for each name, in the domain of the same place, and waits until all are ready.
pub fn start_all(
    names: &[(&str, &str)],
    store: &Arc<Store>,
    record: &Record,
    folder: &Path,
) -> Vec<Host> {
    let ips: Vec<String> = (0..names.len())
        .map(|i| format!("127.0.77.{}", 10 + i))
        .collect();
    let ports = free_ports(&ips);
    let hosts: Vec<Host> = names
        .iter()
        .zip(&ips)
        .map(|((name, domain), ip)| {
            let link = Arc::new(Link::default());
            let (listener, address) = listen("127.0.0.1");
            store.serve(listener, link.clone());
            let settings = folder.join(format!("{name}.json"));
            let text = settings_text(name, domain, ip, names, &ips, ports, address);
            std::fs::write(&settings, text).expect("settings are written");
            let at = |port: u16| format!("{ip}:{port}").parse().expect("an address");
            Host {
                name: (*name).to_owned(),
                front: at(ports),
                ready: at(ports + 1),
                link,
                process: Host::spawn(&settings, folder, name),
                settings,
                folder: folder.to_owned(),
            }
        })
        .collect();
    for _ in 0..200 {
        if hosts.iter().all(Host::is_ready) {
            record.note("all hosts are ready");
            return hosts;
        }
        thread::sleep(Duration::from_millis(50));
    }
    println!("a host was not ready in time");
    drop(hosts);
    std::process::exit(2);
}

/// Finds a port from which twenty are free at all addresses.
fn free_ports(ips: &[String]) -> u16 {
    let is_free = |first: u16| {
        let mut ports = ips
            .iter()
            .flat_map(|ip| (first..first + 20).map(move |port| (ip.as_str(), port)));
        ports.all(|address| TcpListener::bind(address).is_ok())
    };
    let seed = std::process::id() as u16 % 500;
    let mut candidates = (0..500).map(|step| 21_000 + (seed + step) % 500 * 20);
    candidates
        .find(|first| is_free(*first))
        .expect("free ports")
}

fn settings_text(
    name: &str,
    domain: &str,
    ip: &str,
    names: &[(&str, &str)],
    ips: &[String],
    port: u16,
    store: SocketAddr,
) -> String {
    let mut domains: Vec<&str> = names.iter().map(|(_, domain)| *domain).collect();
    domains.sort_unstable();
    domains.dedup();
    let zones: Vec<String> = domains
        .iter()
        .map(|zone| format!("\"{zone}\":\"nile-delta\""))
        .collect();
    let zones = zones.join(",");
    let seeds: Vec<String> = ips
        .iter()
        .take(3)
        .map(|ip| format!("\"{ip}:{}\"", port + 2))
        .collect();
    let seeds = seeds.join(",");
    let (ready, control, first, last) = (port + 1, port + 2, port + 3, port + 18);
    format!(
        "{{\"node_name\":\"{name}\",\"role\":\"gateway\",\"machine_class\":\"front\",\
         \"serves\":[\"front\",\"control_plane\"],\"ip\":\"{ip}\",\"zone\":\"{domain}\",\"region\":\"nile-delta\",\
         \"zones\":{{{zones}}},\"listen\":{{\"front\":\"{ip}:{port}\",\"ready\":\"{ip}:{ready}\",\
         \"control\":\"{ip}:{control}\"}},\"internal_port_range\":[{first},{last}],\"seeds\":[{seeds}],\
         \"bootstrap\":true,\"loss_counts\":false,\
         \"limits\":{{\"cpu_share\":0.25,\"cores\":1,\"memory_mb\":260,\"max_fds\":4100,\"link_mbps\":1000.0,\
         \"disk_mb\":0}},\"data_dir\":null,\"discovery\":\"platform\",\"entry\":\"virtual_ip\",\"heartbeat_ms\":1200,\
         \"contracts\":[\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"scatter\",\"places\",\
         \"platform\"],\"fault_tolerance\":{{\"machines\":1,\"zones\":1,\"regions\":0}},\
         \"bounds\":{{\"seed_lag_s\":3,\"addr_reuse_s\":2,\"contact_ms\":4000,\"ack_timeout_ms\":5000,\
         \"catch_up_s\":4,\"drain_ms\":3000,\"grace_s\":6,\"loss_slack_ms\":200,\"config_apply_ms\":3000,\
         \"downgrade_slack_ms\":250,\"max_skew_ms\":12000,\"retry_budget_ratio\":0.2,\"budget_window_s\":10,\
         \"retry_budget_extra\":52,\"warmup_overage\":1.5,\"warmup_slack\":5,\"evacuate_ms\":5000,\
         \"recovery_s\":12}},\"platform\":{{\"address\":\"{store}\",\"form\":\"read\",\"writes_per_s\":400,\
         \"reads_per_s\":2000,\"history_s\":20,\"value_bytes\":1048576,\"min_ttl_ms\":1000}}}}"
    )
}
