//! Names of the errors that can be injected.

/// The error number of a name, or a plain number (of bytes, for short reads and writes).
pub fn errno_from_name(name: &str) -> Option<i32> {
    Some(match name {
        "ECONNABORTED" => libc::ECONNABORTED,
        "ENFILE" => libc::ENFILE,
        "EMFILE" => libc::EMFILE,
        "ENOBUFS" => libc::ENOBUFS,
        "EADDRNOTAVAIL" => libc::EADDRNOTAVAIL,
        "ENETUNREACH" => libc::ENETUNREACH,
        "EHOSTUNREACH" => libc::EHOSTUNREACH,
        "ETIMEDOUT" => libc::ETIMEDOUT,
        "EINTR" => libc::EINTR,
        "EAGAIN" => libc::EAGAIN,
        "ECONNRESET" => libc::ECONNRESET,
        "EPIPE" => libc::EPIPE,
        "ENOSPC" => libc::ENOSPC,
        "EIO" => libc::EIO,
        number => return number.parse().ok(),
    })
}
