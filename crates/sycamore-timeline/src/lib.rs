//! The time line: typed events, a bounded ring, batches and their merge.
