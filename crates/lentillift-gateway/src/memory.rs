//! Memory of this process, as the system counts it.

/// Where Linux tells it.
const STATUS_PATH: &str = "/proc/self/status";

/// Bytes in memory; none where the system does not tell.
pub fn resident_bytes() -> Option<u64> {
    let status = std::fs::read_to_string(STATUS_PATH).ok()?;
    parse_resident_bytes(&status)
}

/// The line `VmRSS:  9404 kB` of a status file, in bytes.
pub fn parse_resident_bytes(status: &str) -> Option<u64> {
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))?;
    let kilobytes: u64 = line.trim().strip_suffix("kB")?.trim().parse().ok()?;
    Some(kilobytes * 1024)
}
