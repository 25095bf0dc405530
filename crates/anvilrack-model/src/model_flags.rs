//! The command line of `anvilrack-model`.

xflags::xflags! {
    /// Searches the ownership protocol exhaustively within bounds.
    cmd anvilrack-model {
        /// Search all mutants; each must have a trace.
        optional --mutants
        /// Search this mutant and print its trace.
        optional --mutant mutant: String
        /// Besides each mutant, search the model with its rule in place.
        optional --kept
        /// Ticks after the start.
        optional --horizon horizon: u32
        /// Most faults in one run.
        optional --faults faults: u8
        /// A kind of fault to inject; all where none is given.
        repeated --kind kind: String
        /// Most states to look at.
        optional --max-states max_states: usize
        /// Check that each state leads to a served shard.
        optional --liveness
        /// Targets take any fencing token.
        optional --no-fence
        /// Times under which promises outlast all else.
        optional --long-promise
    }
}
