//! What stands between a process and the C library: functions of the C library's names that fail where the control file says
//! so, and otherwise call the real ones. Without a control file nothing is changed.
use crate::control::{self, Call};
use libc::{c_int, c_void, iovec, msghdr, pollfd, size_t, sockaddr, socklen_t, ssize_t, timespec, timeval};
use std::ffi::CStr;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::OnceLock;

const MICROS: i64 = 1_000_000;

struct Control(*const AtomicU64);

// SAFETY: the words behind the pointer are atomic and stay mapped for as long as the process runs.
unsafe impl Send for Control {}
// SAFETY: as above.
unsafe impl Sync for Control {}

impl Control {
    fn word(&self, place: usize) -> &AtomicU64 {
        // SAFETY: all places are below the mapping's length, which is `control::BYTES`.
        unsafe { &*self.0.add(place) }
    }
}

fn control() -> Option<&'static Control> {
    static CONTROL: OnceLock<Option<Control>> = OnceLock::new();
    CONTROL.get_or_init(map).as_ref()
}

/// Maps the control file; it is opened by system calls that this library does not stand before.
fn map() -> Option<Control> {
    let name = std::ffi::CString::new(control::FILE).ok()?;
    // SAFETY: the name ends with a zero; the environment is not written to by the process.
    let path = unsafe { libc::getenv(name.as_ptr()) };
    if path.is_null() {
        return None;
    }
    // SAFETY: the path is a string of the environment; the mapping is shared, of a file that tests keep at this length.
    let words = unsafe {
        let file = libc::open(path, libc::O_RDWR | libc::O_CLOEXEC);
        if file < 0 {
            return None;
        }
        let access = libc::PROT_READ | libc::PROT_WRITE;
        let words = libc::mmap(std::ptr::null_mut(), control::BYTES, access, libc::MAP_SHARED, file, 0);
        libc::close(file);
        words
    };
    (words != libc::MAP_FAILED).then_some(Control(words.cast()))
}

/// How a call is to fail now; none where it isn't.
fn ordered(call: Call) -> Option<i32> {
    let control = control()?;
    let at = call.place();
    let made = control.word(at + control::MADE).fetch_add(1, Relaxed);
    let rate = control.word(at + control::RATE).load(Relaxed);
    if rate == 0 {
        return None;
    }
    let seed = control.word(control::SEED).load(Relaxed);
    if mixed(seed ^ ((at as u64) << 48) ^ made) % 1_000_000 >= rate {
        return None;
    }
    control.word(at + control::DELIVERED).fetch_add(1, Relaxed);
    Some(control.word(at + control::HOW).load(Relaxed) as i32)
}

/// The finalizer of splitmix64.
fn mixed(number: u64) -> u64 {
    let a = number.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let b = (a ^ (a >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let c = (b ^ (b >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    c ^ (c >> 31)
}

fn fail(error: i32) {
    // SAFETY: the C library's own place for a thread's last error.
    unsafe { *libc::__errno_location() = error };
}

/// The real function of a name, found once.
fn real(found: &'static OnceLock<usize>, name: &CStr) -> usize {
    *found.get_or_init(|| {
        // SAFETY: the name ends with a zero.
        unsafe { libc::dlsym(libc::RTLD_NEXT, name.as_ptr()) as usize }
    })
}

macro_rules! real {
    ($name:literal, fn($($kind:ty),*) -> $back:ty) => {{
        static FOUND: OnceLock<usize> = OnceLock::new();
        // SAFETY: the C library's function of this name has this signature.
        unsafe { std::mem::transmute::<usize, extern "C" fn($($kind),*) -> $back>(real(&FOUND, $name)) }
    }};
}

fn is_socket(file: c_int) -> bool {
    // SAFETY: `stat` is plain numbers, and is written by the call alone.
    unsafe {
        let mut stat: libc::stat = std::mem::zeroed();
        libc::fstat(file, &mut stat) == 0 && stat.st_mode & libc::S_IFMT == libc::S_IFSOCK
    }
}

fn is_file(file: c_int) -> bool {
    // SAFETY: as in `is_socket`.
    unsafe {
        let mut stat: libc::stat = std::mem::zeroed();
        let kind = if libc::fstat(file, &mut stat) == 0 { stat.st_mode & libc::S_IFMT } else { 0 };
        kind == libc::S_IFREG || kind == libc::S_IFDIR
    }
}

fn clock_offset() -> i64 {
    control().map_or(0, |control| control.word(control::CLOCK_OFFSET).load(Relaxed) as i64)
}

fn count_wall_clock(offset: i64) {
    let Some(control) = control() else { return };
    let at = Call::WallClock.place();
    control.word(at + control::MADE).fetch_add(1, Relaxed);
    control.word(at + control::DELIVERED).fetch_add(u64::from(offset != 0), Relaxed);
}

/// # Safety
/// As the C library's function of the name.
#[no_mangle]
pub unsafe extern "C" fn clock_gettime(clock: libc::clockid_t, to: *mut timespec) -> c_int {
    let done = real!(c"clock_gettime", fn(libc::clockid_t, *mut timespec) -> c_int)(clock, to);
    if done == 0 && matches!(clock, libc::CLOCK_REALTIME | libc::CLOCK_REALTIME_COARSE) {
        let offset = clock_offset();
        count_wall_clock(offset);
        // SAFETY: the call went well, so the place can be written to.
        let time = unsafe { &mut *to };
        let micros = time.tv_sec * MICROS + time.tv_nsec / 1000 + offset;
        let nanos = time.tv_nsec % 1000;
        (time.tv_sec, time.tv_nsec) = (micros.div_euclid(MICROS), micros.rem_euclid(MICROS) * 1000 + nanos);
    }
    done
}

/// # Safety
/// As the C library's function of the name.
#[no_mangle]
pub unsafe extern "C" fn gettimeofday(to: *mut timeval, zone: *mut c_void) -> c_int {
    let done = real!(c"gettimeofday", fn(*mut timeval, *mut c_void) -> c_int)(to, zone);
    if done == 0 && !to.is_null() {
        let offset = clock_offset();
        count_wall_clock(offset);
        // SAFETY: as above.
        let time = unsafe { &mut *to };
        let micros = time.tv_sec * MICROS + time.tv_usec + offset;
        (time.tv_sec, time.tv_usec) = (micros.div_euclid(MICROS), micros.rem_euclid(MICROS));
    }
    done
}

/// # Safety
/// As the C library's function of the name.
#[no_mangle]
pub unsafe extern "C" fn accept4(
    file: c_int,
    from: *mut sockaddr,
    length: *mut socklen_t,
    flags: c_int,
) -> c_int {
    // The connection stays in the queue: what fails here is the call, not the client.
    if let Some(error) = ordered(Call::Accept) {
        fail(error);
        return -1;
    }
    real!(c"accept4", fn(c_int, *mut sockaddr, *mut socklen_t, c_int) -> c_int)(file, from, length, flags)
}

/// # Safety
/// As the C library's function of the name.
#[no_mangle]
pub unsafe extern "C" fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int {
    if let Some(error) = ordered(Call::Socket) {
        fail(error);
        return -1;
    }
    real!(c"socket", fn(c_int, c_int, c_int) -> c_int)(domain, kind, protocol)
}

/// # Safety
/// As the C library's function of the name.
#[no_mangle]
pub unsafe extern "C" fn connect(file: c_int, to: *const sockaddr, length: socklen_t) -> c_int {
    if let Some(error) = ordered(Call::Connect) {
        fail(error);
        return -1;
    }
    real!(c"connect", fn(c_int, *const sockaddr, socklen_t) -> c_int)(file, to, length)
}

/// # Safety
/// As the C library's function of the name.
#[no_mangle]
pub unsafe extern "C" fn epoll_wait(
    epoll: c_int,
    events: *mut libc::epoll_event,
    most: c_int,
    wait: c_int,
) -> c_int {
    if let Some(error) = ordered(Call::Wait) {
        fail(error);
        return -1;
    }
    let real = real!(c"epoll_wait", fn(c_int, *mut libc::epoll_event, c_int, c_int) -> c_int);
    real(epoll, events, most, wait)
}

/// # Safety
/// As the C library's function of the name.
#[no_mangle]
pub unsafe extern "C" fn poll(files: *mut pollfd, count: libc::nfds_t, wait: c_int) -> c_int {
    if let Some(error) = ordered(Call::Wait) {
        fail(error);
        return -1;
    }
    real!(c"poll", fn(*mut pollfd, libc::nfds_t, c_int) -> c_int)(files, count, wait)
}

/// A read of a socket: the error that it is to bring, or how many bytes it is to ask for.
fn ordered_read(wanted: size_t) -> Result<size_t, i32> {
    if let Some(error) = ordered(Call::Read) {
        return Err(error);
    }
    Ok(ordered(Call::ShortRead).map_or(wanted, |most| wanted.min(most.max(1) as size_t)))
}

/// # Safety
/// As the C library's function of the name.
#[no_mangle]
pub unsafe extern "C" fn recv(file: c_int, to: *mut c_void, length: size_t, flags: c_int) -> ssize_t {
    let real = real!(c"recv", fn(c_int, *mut c_void, size_t, c_int) -> ssize_t);
    if flags & libc::MSG_PEEK != 0 {
        return real(file, to, length, flags);
    }
    match ordered_read(length) {
        Ok(length) => real(file, to, length, flags),
        Err(error) => {
            fail(error);
            -1
        }
    }
}

/// # Safety
/// As the C library's function of the name.
#[no_mangle]
pub unsafe extern "C" fn read(file: c_int, to: *mut c_void, length: size_t) -> ssize_t {
    let real = real!(c"read", fn(c_int, *mut c_void, size_t) -> ssize_t);
    if !is_socket(file) {
        return real(file, to, length);
    }
    match ordered_read(length) {
        Ok(length) => real(file, to, length),
        Err(error) => {
            fail(error);
            -1
        }
    }
}

/// How a write to a socket is to end: with an error, or after so many bytes; none as it is.
fn ordered_write() -> Option<Result<size_t, i32>> {
    if let Some(error) = ordered(Call::Write) {
        return Some(Err(error));
    }
    ordered(Call::ShortWrite).map(|most| Ok(most.max(1) as size_t))
}

/// # Safety
/// As the C library's function of the name.
#[no_mangle]
pub unsafe extern "C" fn write(file: c_int, from: *const c_void, length: size_t) -> ssize_t {
    let real = real!(c"write", fn(c_int, *const c_void, size_t) -> ssize_t);
    let order = if is_file(file) {
        ordered(Call::FileWrite).map(Err)
    } else if is_socket(file) {
        ordered_write()
    } else {
        None
    };
    match order {
        None => real(file, from, length),
        Some(Ok(most)) => real(file, from, length.min(most)),
        Some(Err(error)) => {
            fail(error);
            -1
        }
    }
}

/// # Safety
/// As the C library's function of the name.
#[no_mangle]
pub unsafe extern "C" fn send(file: c_int, from: *const c_void, length: size_t, flags: c_int) -> ssize_t {
    let real = real!(c"send", fn(c_int, *const c_void, size_t, c_int) -> ssize_t);
    match ordered_write() {
        None => real(file, from, length, flags),
        Some(Ok(most)) => real(file, from, length.min(most), flags),
        Some(Err(error)) => {
            fail(error);
            -1
        }
    }
}

/// # Safety
/// As the C library's function of the name.
#[no_mangle]
pub unsafe extern "C" fn writev(file: c_int, parts: *const iovec, count: c_int) -> ssize_t {
    let real = real!(c"writev", fn(c_int, *const iovec, c_int) -> ssize_t);
    let order = if is_socket(file) { ordered_write() } else { None };
    match order {
        Some(Err(error)) => {
            fail(error);
            -1
        }
        Some(Ok(most)) if count > 0 => {
            // SAFETY: the caller gives `count` parts, so there is a first one.
            let first = unsafe { &*parts };
            let short = iovec { iov_base: first.iov_base, iov_len: first.iov_len.min(most) };
            real(file, &short, 1)
        }
        _ => real(file, parts, count),
    }
}

/// # Safety
/// As the C library's function of the name.
#[no_mangle]
pub unsafe extern "C" fn sendmsg(file: c_int, message: *const msghdr, flags: c_int) -> ssize_t {
    let real = real!(c"sendmsg", fn(c_int, *const msghdr, c_int) -> ssize_t);
    // SAFETY: the caller gives a whole message.
    let whole = unsafe { &*message };
    match ordered_write() {
        Some(Err(error)) => {
            fail(error);
            -1
        }
        Some(Ok(most)) if whole.msg_iovlen > 0 => {
            // SAFETY: there is a first part.
            let first = unsafe { &*whole.msg_iov };
            let mut short = iovec { iov_base: first.iov_base, iov_len: first.iov_len.min(most) };
            let less = msghdr { msg_iov: &mut short, msg_iovlen: 1, ..*whole };
            real(file, &less, flags)
        }
        _ => real(file, message, flags),
    }
}

/// # Safety
/// As the C library's function of the name.
#[no_mangle]
pub unsafe extern "C" fn pwrite64(
    file: c_int,
    from: *const c_void,
    length: size_t,
    at: libc::off64_t,
) -> ssize_t {
    if let Some(error) = ordered(Call::FileWrite) {
        fail(error);
        return -1;
    }
    real!(c"pwrite64", fn(c_int, *const c_void, size_t, libc::off64_t) -> ssize_t)(file, from, length, at)
}

/// # Safety
/// As the C library's function of the name.
#[no_mangle]
pub unsafe extern "C" fn fsync(file: c_int) -> c_int {
    if let Some(error) = ordered(Call::FileSync) {
        fail(error);
        return -1;
    }
    real!(c"fsync", fn(c_int) -> c_int)(file)
}

/// # Safety
/// As the C library's function of the name.
#[no_mangle]
pub unsafe extern "C" fn fdatasync(file: c_int) -> c_int {
    if let Some(error) = ordered(Call::FileSync) {
        fail(error);
        return -1;
    }
    real!(c"fdatasync", fn(c_int) -> c_int)(file)
}
