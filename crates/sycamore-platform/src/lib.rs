//! Client of the platform's transactional table and object store.
