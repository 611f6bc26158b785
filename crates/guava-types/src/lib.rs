//! Vocabulary shared by every layer: identifiers, sizes, rates, moments and the hash map alias.

mod collections;
mod ids;
mod keys;
mod moments;
mod names;
mod software;
mod units;
mod upstream_id;

pub use collections::{FastMap, FastSet};
pub use ids::{IdError, Incarnation, Offset, RecordId, RequestDigest, StreamKey};
pub use keys::{CallKey, CallerKey, KeyError, PinnedKey};
pub use moments::{Deadline, Moment, WallTime};
pub use names::{
    CustomerId, DataCentre, MemberName, ModelName, NameError, ServiceName, VersionName,
};
pub use software::{MAX_SOFTWARE_VERSION_BYTES, SoftwareVersion, SoftwareVersionError};
pub use units::{
    ByteCount, CoreShare, LimitRate, LinkRate, RequestRate, TokenCount, TokenRate, UnitError,
};
pub use upstream_id::UpstreamId;
