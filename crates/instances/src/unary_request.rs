//! Requests with exactly one reply.

use crate::{
    Body, BundleContent, BundleFetch, CapacityGrant, CapacityRequest, LoanGrant, LoanRequest,
    PermitGrant, PermitRequest,
};

/// Request that has exactly one reply.
pub trait UnaryRequest: Into<Body> {
    /// Type of the reply.
    type Reply: TryFrom<Body>;
}

macro_rules! define_unary_request {
    ($request:ident, $reply:ident) => {
        impl From<$request> for Body {
            fn from(request: $request) -> Self {
                Self::$request(request)
            }
        }

        impl TryFrom<Body> for $reply {
            type Error = Body;

            fn try_from(body: Body) -> Result<Self, Body> {
                match body {
                    Body::$reply(reply) => Ok(reply),
                    other => Err(other),
                }
            }
        }

        impl UnaryRequest for $request {
            type Reply = $reply;
        }
    };
}

define_unary_request!(BundleFetch, BundleContent);
define_unary_request!(CapacityRequest, CapacityGrant);
define_unary_request!(LoanRequest, LoanGrant);
define_unary_request!(PermitRequest, PermitGrant);
