//! An embedded log-structured key-value store: a segmented log with a checksum on every record, atomic
//! batches, group commit, named spaces with ordered scans, expiry, checkpoints, compaction, snapshots, export
//! and import. The file formats are specified in docs/store.md; all I/O goes through [`disk::Disk`].
#![forbid(unsafe_code)]

pub mod checkpoint;
pub mod compaction;
pub mod disk;
pub mod engine;
pub mod error;
pub mod export;
pub mod format;
pub mod index;
pub mod recovery;
pub mod repair;
pub mod simulated;
pub mod store;
