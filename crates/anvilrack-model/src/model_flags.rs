//! The command line of `anvilrack-model`.

xflags::xflags! {
    /// Explores the ownership protocol exhaustively within bounds.
    cmd anvilrack-model {
        /// Search all mutants; each must have a trace to a violated property.
        optional --mutants
        /// Search this mutant and print its trace.
        optional --mutant mutant: String
        /// For each mutant, also search the model that keeps its rule, within the same bounds.
        optional --kept
        /// Number of ticks to explore after the warm-up.
        optional --horizon horizon: u32
        /// Maximum number of faults in one run.
        optional --faults faults: u8
        /// Kind of fault to inject, repeatable; all kinds if none is given.
        repeated --kind kind: String
        /// Maximum number of states to expand.
        optional --max-states max_states: usize
        /// Also check that the shard is served again from each state once all faults end.
        optional --liveness
        /// Let targets accept any fencing token.
        optional --no-fence
        /// Use terms whose promises outlast leases and the coordinator's authority.
        optional --long-promise
    }
}
