//! Node settings: read from INI, checked as a whole, with every fault named.
