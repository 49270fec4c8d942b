//! Resident memory of this process.

/// Linux's status file of the current process.
const STATUS_PATH: &str = "/proc/self/status";

/// Resident memory in bytes; none where the system does not report it.
pub fn resident_bytes() -> Option<u64> {
    let status = std::fs::read_to_string(STATUS_PATH).ok()?;
    parse_resident_bytes(&status)
}

/// Parses the line `VmRSS:  9404 kB` of a status file; returns bytes.
pub fn parse_resident_bytes(status: &str) -> Option<u64> {
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))?;
    let kilobytes: u64 = line.trim().strip_suffix("kB")?.trim().parse().ok()?;
    Some(kilobytes * 1024)
}
