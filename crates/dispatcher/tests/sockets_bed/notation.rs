//! The notation of the scenarios: commands are separated by lines or `;`, `#` starts a comment, and `{1..9}`
//! repeats a command once for each number.
//!
//! Setup, before `start`:
//! - `host NAME SORT [narrow]`: a cache, parent or origin, with small socket buffers if narrow; `host NAME at
//!   OTHER`: a new name for the host at another one's address
//! - `many N NAME`: N more listed hosts, at addresses of their own that lead to that host
//! - `memory MB`, `descriptors N`: limits of the dispatcher; `set POINTER JSON`: a value in the configuration
//! - `unknown [MODE]`: no hosts are known at the start, and the change log is in this mode (mute)
//! - `shape`: the settings of the other shape of deployment
//! - `store [SETTING …]`: a store in a temporary folder; `config TEXT`: the configuration of the next start
//! - `shim`: the dispatchers run with `cherrypass-shim`
//!
//! Dispatchers:
//! - `start [N]`; `restart`: killed and started again; `term`: SIGTERM; `signal NAME`; `pause` and `resume`:
//!   suspended and continued; `exit CODE [MS]`: they exit with this code, within this time of `term`
//! - `reload TEXT`: SIGHUP with this configuration; `move`: the change log moves to another address, SIGHUP
//! - `forget`: the change log knows the host list alone; `spoil`: one byte of the store's first segment
//!   changes
//! - `log WORDS`: a log line with these words is written
//! - `holds N M`: at most N threads and M open files within the timeout; `stands N MS`: at most N open files and
//!   pending connections within this time
//! - `step MS`: the dispatchers' wall clock is ahead by this from now on, or behind if negative; `fault CALL
//!   ERRNO PER_MILLION [THREAD]`: this share of their calls (in threads of this name) fails (for `short-read` and `short-write` ERRNO is a
//!   number of bytes); `delivered CALL N`: since the last `fault`, at least N failures are injected within the
//!   timeout; `stop-at CALL THREAD`: the first dispatcher stops itself right before the next such call of a thread;
//!   `stopped`: it has
//!
//! Change log:
//! - `list NAME STATE [unheard|odd|anew]`: one host's state; without waiting for the log line, with an
//!   additional invalid entry, or with a process that has just started
//! - `tell NAME STATE [at=OTHER|KEY=JSON|KEY=now+MS|KEY=now-MS|!KEY] [and NAME STATE …]`: one event of these
//!   entries, with another host's address, with changed values or without a key
//! - `purge OBJECT|group`
//! - `feed MODE`: well, refuse, mute, prose, gap, repeat, state, cut, stop, drip
//!
//! Clients:
//! - `client NAME [N] [deaf] [narrow]`: connects to the Nth dispatcher; deaf clients read nothing before
//!   `hear`
//! - `ask CLIENT ID BAND OBJECT [FIELD=VALUE|body=N]`, `withdraw CLIENT ID`, `raw CLIENT|HOST HEX`
//! - `each CLIENT FROM TO`: requests for these objects one after another, each served
//! - `pipe CLIENT FROM TO BYTES`: all these requests at once, written in pieces of this size
//! - `burst CLIENT FROM TO BYTES [ID …]`: requests of the class once in one write, with bodies full of messages that withdraw them all,
//!   and behind these withdrawals of the given ids
//! - `statuses CLIENT N`: status requests at once; `babble CLIENT`: status requests without end
//! - `flood CLIENT HOST`: requests with large answers until the client's connection ends
//! - `close CLIENT`, `half-close CLIENT`, `reset HOST|CLIENT`, `hear HOST|CLIENT`
//! - `crowd N [asked]`: connections that stay idle, at once or after one request
//! - `expect CLIENT ID settled|turned-back|written-off|ready|not-ready|bad [FIELD=VALUE] [bytes=N]
//!   [within=MS]`
//! - `once CLIENT ID [MS]`: any answer, within this time; `either CLIENT ID OBJECT`: an answer, or a clean
//!   end without an attempt; `ended CLIENT`: a clean end with no further answers; `nothing HOST|CLIENT`:
//!   nothing has arrived
//!
//! Hosts:
//! - `take HOST|any|it [FIELD=VALUE|FIELD<N|FIELD>N|!FIELD|!FIELD=VALUE|never_mind|busy]`: the next message,
//!   checked
//! - `answer HOST WORD [FIELDS|bare] [bytes=N] [id=ID] [short=N] [twice]`: answers the last message; bare
//!   without fields, short without the last bytes, twice in one write
//! - `rest HOST`: the bytes left by `short`; `again HOST`: the last answer once more; `drip HOST`: starts
//!   an answer that never ends
//! - `auto HOST [BYTES]`: answers everything at once; `paced HOST PLACES KB`: answers objects by their size,
//!   240, 120 or 4 kB, at this rate in kB/s, PLACES at a time
//! - `drain HOST`: drops what has arrived; `came HOST`: something has arrived; `count OBJECT N`: attempts at
//!   all hosts so far
//! - `cut HOST`: closes its connections; `closed HOST`: the log has a line on the end of each connection that
//!   the host has accepted; `down HOST`: also refuses new ones; `deaf HOST`: new connections
//!   never come up; `up HOST`: a connection has come up since `hear`; `still HOST` and `reads HOST`: stops
//!   and resumes reading
//!
//! Time and load:
//! - `wait MS`; `lap`, `lap MS`: at most this long after the previous `lap`
//! - `usual N [beside MS]`: the times of ordinary clients, alone and beside misbehaving ones, and a limit on
//!   the 99th percentile then
//! - `largest N PART`: of N requests of each client, those for the largest tenth and the next fifth of
//!   objects are served at least at PART of the overall rate

/// The commands of a scenario, each with its line number and without repetitions expanded.
pub fn commands(text: &str) -> impl Iterator<Item = (usize, &str)> {
    text.lines().enumerate().flat_map(|(number, line)| {
        let commands = line.split('#').next().unwrap().split(';');
        commands
            .map(str::trim)
            .filter(|command| !command.is_empty())
            .map(move |command| (number + 1, command))
    })
}

/// Repeats a command for each number of the range `{a..b}` in it.
pub fn expand(command: &str) -> Vec<String> {
    let Some((_, rest)) = command.split_once('{').filter(|(_, rest)| rest.contains("..")) else {
        return vec![command.into()];
    };
    let range = rest.split_once('}').unwrap().0;
    let (from, to) = range.split_once("..").unwrap();
    let numbers = from.parse::<u32>().unwrap()..=to.parse().unwrap();
    numbers.map(|number| command.replace(&format!("{{{range}}}"), &number.to_string())).collect()
}
