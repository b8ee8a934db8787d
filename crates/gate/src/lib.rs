//! Decisions of the gate in front of an engine.
