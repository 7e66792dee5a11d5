//! Replacements of C library functions that fail as set in the control file and otherwise call the original
//! functions. Without a control file they only call the original functions.
use crate::control::{self, Call};
use libc::{c_int, c_void, iovec, msghdr, pollfd, size_t, sockaddr, socklen_t, ssize_t, timespec, timeval};
use std::ffi::CStr;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::OnceLock;

const MICROS: i64 = 1_000_000;
/// Maximum length of a thread's name, with its null byte.
const THREAD_NAME_BYTES: usize = 16;

/// The mapped control file.
struct Control(*const AtomicU64);

// SAFETY: the words behind the pointer are atomic and stay mapped for as long as the process runs.
unsafe impl Send for Control {}
// SAFETY: as above.
unsafe impl Sync for Control {}

impl Control {
    fn word(&self, index: usize) -> &AtomicU64 {
        // SAFETY: all indices are within the mapping, which is `control::FILE_BYTES`.
        unsafe { &*self.0.add(index) }
    }
}

/// The control file, mapped on first use; None if there is none.
fn control() -> Option<&'static Control> {
    static CONTROL: OnceLock<Option<Control>> = OnceLock::new();
    CONTROL.get_or_init(map_control_file).as_ref()
}

/// Maps the control file, using only functions that this library does not replace.
fn map_control_file() -> Option<Control> {
    let name = std::ffi::CString::new(control::FILE_VARIABLE).ok()?;
    // SAFETY: the name is null-terminated; the process does not modify its environment.
    let path = unsafe { libc::getenv(name.as_ptr()) };
    if path.is_null() {
        return None;
    }
    // SAFETY: the path is a string of the environment; the mapping is shared, of a file that tests keep at
    // this length.
    let words = unsafe {
        let file = libc::open(path, libc::O_RDWR | libc::O_CLOEXEC);
        if file < 0 {
            return None;
        }
        let access = libc::PROT_READ | libc::PROT_WRITE;
        let words = libc::mmap(std::ptr::null_mut(), control::FILE_BYTES, access, libc::MAP_SHARED, file, 0);
        libc::close(file);
        words
    };
    (words != libc::MAP_FAILED).then_some(Control(words.cast()))
}

/// Counts a call and returns the outcome if it has to fail.
fn injected_fault(call: Call) -> Option<i32> {
    let control = control()?;
    let first = call.first_word();
    let count = control.word(first + control::CALL_COUNT_WORD).fetch_add(1, Relaxed);
    let rate = control.word(first + control::RATE_WORD).load(Relaxed);
    let thread = control.word(first + control::THREAD_WORD).load(Relaxed);
    if rate == 0 || thread != 0 && thread != own_thread_word() {
        return None;
    }
    let seed = control.word(control::SEED_WORD).load(Relaxed);
    if splitmix64(seed ^ ((first as u64) << 48) ^ count) % 1_000_000 >= rate {
        return None;
    }
    control.word(first + control::FAILURE_COUNT_WORD).fetch_add(1, Relaxed);
    Some(control.word(first + control::OUTCOME_WORD).load(Relaxed) as i32)
}

/// Stops the process if the test has set this call of this thread as the point to do so.
fn stop_if_set(call: Call) {
    let Some(control) = control() else { return };
    let wanted = control.word(control::STOP_CALL_WORD);
    let thread = control.word(control::STOP_THREAD_WORD);
    if wanted.load(Relaxed) != call.stop_word() || thread.load(Relaxed) != own_thread_word() {
        return;
    }
    if wanted.compare_exchange(call.stop_word(), 0, Relaxed, Relaxed).is_ok() {
        // SAFETY: the signal goes to this thread itself, which stops with all others before the call returns.
        unsafe { libc::syscall(libc::SYS_tgkill, libc::getpid(), libc::gettid(), libc::SIGSTOP) };
    }
}

/// The name of the calling thread, as tests set it.
fn own_thread_word() -> u64 {
    let mut name = [0; THREAD_NAME_BYTES];
    // SAFETY: the call writes at most this many bytes, null-terminated.
    unsafe { libc::prctl(libc::PR_GET_NAME, name.as_mut_ptr()) };
    control::thread_word(&name)
}

/// The finalizer of splitmix64.
fn splitmix64(number: u64) -> u64 {
    let a = number.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let b = (a ^ (a >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let c = (b ^ (b >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    c ^ (c >> 31)
}

fn set_errno(error: i32) {
    // SAFETY: the C library returns a valid pointer to the thread's `errno`.
    unsafe { *libc::__errno_location() = error };
}

/// Address of the original function, looked up once.
fn find_original(found: &'static OnceLock<usize>, name: &CStr) -> usize {
    *found.get_or_init(|| {
        // SAFETY: the name is null-terminated.
        unsafe { libc::dlsym(libc::RTLD_NEXT, name.as_ptr()) as usize }
    })
}

macro_rules! original {
    ($name:literal, fn($($kind:ty),*) -> $back:ty) => {{
        static FOUND: OnceLock<usize> = OnceLock::new();
        // SAFETY: the C library function of this name has this signature.
        unsafe { std::mem::transmute::<usize, extern "C" fn($($kind),*) -> $back>(find_original(&FOUND, $name)) }
    }};
}

fn is_socket(file: c_int) -> bool {
    // SAFETY: `stat` only contains integers, and only the call writes to it.
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
    control().map_or(0, |control| control.word(control::CLOCK_OFFSET_WORD).load(Relaxed) as i64)
}

fn count_wall_clock_read(offset: i64) {
    let Some(control) = control() else { return };
    let first = Call::WallClock.first_word();
    control.word(first + control::CALL_COUNT_WORD).fetch_add(1, Relaxed);
    control.word(first + control::FAILURE_COUNT_WORD).fetch_add(u64::from(offset != 0), Relaxed);
}

/// # Safety
/// As for the C library function of the same name.
#[no_mangle]
pub unsafe extern "C" fn clock_gettime(clock: libc::clockid_t, to: *mut timespec) -> c_int {
    let done = original!(c"clock_gettime", fn(libc::clockid_t, *mut timespec) -> c_int)(clock, to);
    if done == 0 && matches!(clock, libc::CLOCK_REALTIME | libc::CLOCK_REALTIME_COARSE) {
        let offset = clock_offset();
        count_wall_clock_read(offset);
        // SAFETY: the call succeeded, so `to` is valid for writes.
        let time = unsafe { &mut *to };
        let micros = time.tv_sec * MICROS + time.tv_nsec / 1000 + offset;
        let nanos = time.tv_nsec % 1000;
        (time.tv_sec, time.tv_nsec) = (micros.div_euclid(MICROS), micros.rem_euclid(MICROS) * 1000 + nanos);
    }
    done
}

/// # Safety
/// As for the C library function of the same name.
#[no_mangle]
pub unsafe extern "C" fn gettimeofday(to: *mut timeval, zone: *mut c_void) -> c_int {
    let done = original!(c"gettimeofday", fn(*mut timeval, *mut c_void) -> c_int)(to, zone);
    if done == 0 && !to.is_null() {
        let offset = clock_offset();
        count_wall_clock_read(offset);
        // SAFETY: as above.
        let time = unsafe { &mut *to };
        let micros = time.tv_sec * MICROS + time.tv_usec + offset;
        (time.tv_sec, time.tv_usec) = (micros.div_euclid(MICROS), micros.rem_euclid(MICROS));
    }
    done
}

/// # Safety
/// As for the C library function of the same name.
#[no_mangle]
pub unsafe extern "C" fn accept4(
    file: c_int,
    from: *mut sockaddr,
    length: *mut socklen_t,
    flags: c_int,
) -> c_int {
    stop_if_set(Call::Accept);
    // The connection stays in the queue: only the call fails, not the client.
    if let Some(error) = injected_fault(Call::Accept) {
        set_errno(error);
        return -1;
    }
    original!(c"accept4", fn(c_int, *mut sockaddr, *mut socklen_t, c_int) -> c_int)(file, from, length, flags)
}

/// # Safety
/// As for the C library function of the same name.
#[no_mangle]
pub unsafe extern "C" fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int {
    stop_if_set(Call::Socket);
    if let Some(error) = injected_fault(Call::Socket) {
        set_errno(error);
        return -1;
    }
    original!(c"socket", fn(c_int, c_int, c_int) -> c_int)(domain, kind, protocol)
}

/// # Safety
/// As for the C library function of the same name.
#[no_mangle]
pub unsafe extern "C" fn connect(file: c_int, to: *const sockaddr, length: socklen_t) -> c_int {
    stop_if_set(Call::Connect);
    if let Some(error) = injected_fault(Call::Connect) {
        set_errno(error);
        return -1;
    }
    original!(c"connect", fn(c_int, *const sockaddr, socklen_t) -> c_int)(file, to, length)
}

/// # Safety
/// As for the C library function of the same name.
#[no_mangle]
pub unsafe extern "C" fn epoll_wait(
    epoll: c_int,
    events: *mut libc::epoll_event,
    max_events: c_int,
    wait: c_int,
) -> c_int {
    stop_if_set(Call::Wait);
    if let Some(error) = injected_fault(Call::Wait) {
        set_errno(error);
        return -1;
    }
    let original = original!(c"epoll_wait", fn(c_int, *mut libc::epoll_event, c_int, c_int) -> c_int);
    original(epoll, events, max_events, wait)
}

/// # Safety
/// As for the C library function of the same name.
#[no_mangle]
pub unsafe extern "C" fn poll(files: *mut pollfd, count: libc::nfds_t, wait: c_int) -> c_int {
    stop_if_set(Call::Wait);
    if let Some(error) = injected_fault(Call::Wait) {
        set_errno(error);
        return -1;
    }
    original!(c"poll", fn(*mut pollfd, libc::nfds_t, c_int) -> c_int)(files, count, wait)
}

/// The fault of a read from a socket: an error, or the number of bytes to read.
fn read_fault(wanted: size_t) -> Result<size_t, i32> {
    stop_if_set(Call::Read);
    if let Some(error) = injected_fault(Call::Read) {
        return Err(error);
    }
    Ok(injected_fault(Call::ShortRead).map_or(wanted, |max_bytes| wanted.min(max_bytes.max(1) as size_t)))
}

/// # Safety
/// As for the C library function of the same name.
#[no_mangle]
pub unsafe extern "C" fn recv(file: c_int, to: *mut c_void, length: size_t, flags: c_int) -> ssize_t {
    let original = original!(c"recv", fn(c_int, *mut c_void, size_t, c_int) -> ssize_t);
    if flags & libc::MSG_PEEK != 0 {
        return original(file, to, length, flags);
    }
    match read_fault(length) {
        Ok(length) => original(file, to, length, flags),
        Err(error) => {
            set_errno(error);
            -1
        }
    }
}

/// # Safety
/// As for the C library function of the same name.
#[no_mangle]
pub unsafe extern "C" fn read(file: c_int, to: *mut c_void, length: size_t) -> ssize_t {
    let original = original!(c"read", fn(c_int, *mut c_void, size_t) -> ssize_t);
    if !is_socket(file) {
        return original(file, to, length);
    }
    match read_fault(length) {
        Ok(length) => original(file, to, length),
        Err(error) => {
            set_errno(error);
            -1
        }
    }
}

/// The fault of a write to a socket: an error, or the maximum number of bytes. None if there is no fault.
fn write_fault() -> Option<Result<size_t, i32>> {
    stop_if_set(Call::Write);
    if let Some(error) = injected_fault(Call::Write) {
        return Some(Err(error));
    }
    injected_fault(Call::ShortWrite).map(|max_bytes| Ok(max_bytes.max(1) as size_t))
}

/// # Safety
/// As for the C library function of the same name.
#[no_mangle]
pub unsafe extern "C" fn write(file: c_int, from: *const c_void, length: size_t) -> ssize_t {
    let original = original!(c"write", fn(c_int, *const c_void, size_t) -> ssize_t);
    let fault = if is_file(file) {
        injected_fault(Call::FileWrite).map(Err)
    } else if is_socket(file) {
        write_fault()
    } else {
        None
    };
    match fault {
        None => original(file, from, length),
        Some(Ok(max_bytes)) => original(file, from, length.min(max_bytes)),
        Some(Err(error)) => {
            set_errno(error);
            -1
        }
    }
}

/// # Safety
/// As for the C library function of the same name.
#[no_mangle]
pub unsafe extern "C" fn send(file: c_int, from: *const c_void, length: size_t, flags: c_int) -> ssize_t {
    let original = original!(c"send", fn(c_int, *const c_void, size_t, c_int) -> ssize_t);
    match write_fault() {
        None => original(file, from, length, flags),
        Some(Ok(max_bytes)) => original(file, from, length.min(max_bytes), flags),
        Some(Err(error)) => {
            set_errno(error);
            -1
        }
    }
}

/// # Safety
/// As for the C library function of the same name.
#[no_mangle]
pub unsafe extern "C" fn writev(file: c_int, parts: *const iovec, count: c_int) -> ssize_t {
    let original = original!(c"writev", fn(c_int, *const iovec, c_int) -> ssize_t);
    let fault = if is_socket(file) { write_fault() } else { None };
    match fault {
        Some(Err(error)) => {
            set_errno(error);
            -1
        }
        Some(Ok(max_bytes)) if count > 0 => {
            // SAFETY: the caller provides `count` buffers, so there is a first one.
            let first = unsafe { &*parts };
            let short = iovec { iov_base: first.iov_base, iov_len: first.iov_len.min(max_bytes) };
            original(file, &short, 1)
        }
        _ => original(file, parts, count),
    }
}

/// # Safety
/// As for the C library function of the same name.
#[no_mangle]
pub unsafe extern "C" fn sendmsg(file: c_int, message: *const msghdr, flags: c_int) -> ssize_t {
    let original = original!(c"sendmsg", fn(c_int, *const msghdr, c_int) -> ssize_t);
    // SAFETY: the caller provides a valid message.
    let whole = unsafe { &*message };
    match write_fault() {
        Some(Err(error)) => {
            set_errno(error);
            -1
        }
        Some(Ok(max_bytes)) if whole.msg_iovlen > 0 => {
            // SAFETY: there is a first buffer.
            let first = unsafe { &*whole.msg_iov };
            let mut short = iovec { iov_base: first.iov_base, iov_len: first.iov_len.min(max_bytes) };
            let less = msghdr { msg_iov: &mut short, msg_iovlen: 1, ..*whole };
            original(file, &less, flags)
        }
        _ => original(file, message, flags),
    }
}

/// # Safety
/// As for the C library function of the same name.
#[no_mangle]
pub unsafe extern "C" fn pwrite64(
    file: c_int,
    from: *const c_void,
    length: size_t,
    at: libc::off64_t,
) -> ssize_t {
    stop_if_set(Call::FileWrite);
    if let Some(error) = injected_fault(Call::FileWrite) {
        set_errno(error);
        return -1;
    }
    original!(c"pwrite64", fn(c_int, *const c_void, size_t, libc::off64_t) -> ssize_t)(file, from, length, at)
}

/// # Safety
/// As for the C library function of the same name.
#[no_mangle]
pub unsafe extern "C" fn fsync(file: c_int) -> c_int {
    stop_if_set(Call::FileSync);
    if let Some(error) = injected_fault(Call::FileSync) {
        set_errno(error);
        return -1;
    }
    original!(c"fsync", fn(c_int) -> c_int)(file)
}

/// # Safety
/// As for the C library function of the same name.
#[no_mangle]
pub unsafe extern "C" fn fdatasync(file: c_int) -> c_int {
    stop_if_set(Call::FileSync);
    if let Some(error) = injected_fault(Call::FileSync) {
        set_errno(error);
        return -1;
    }
    original!(c"fdatasync", fn(c_int) -> c_int)(file)
}
