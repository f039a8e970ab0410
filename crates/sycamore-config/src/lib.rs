//! Configuration: manifests of hashed resources, their checks and the apply machine.
