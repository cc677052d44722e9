//! What controller nodes tell one another.
