//! Whether routers learn how fast targets work.

use crate::key_types;

key_types! {
    /// When routers use what they learn of the speed of targets.
    #[derive(Default)]
    pub enum AdaptiveCapacity {
        /// Never; all targets of a pool count as equally fast.
        Off,
        /// Always.
        On,
        /// While a target reports that its machine does other work too.
        #[default]
        Auto,
    }
}
