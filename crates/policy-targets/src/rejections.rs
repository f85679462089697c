//! What a fragile target states: the rejections that it bears.

use base_types::{TimePoint, key_types};

key_types! {
    /// Rejections a second, for want of room, above which a fragile target fails for some seconds.
    pub struct RejectionLimit(pub u32);

    /// What the latest answer of a target said of rejections.
    pub struct RejectionStatement {
        /// The limit; `None` if the target is not fragile.
        pub limit: Option<RejectionLimit>,
        /// When the answer arrived.
        pub stated_at: TimePoint,
    }
}
