"""State of the failover controllers, kept on the blackboard."""

import attrs

from hyssopshelf.failover import detection, leases, promotion, reachability, terms


@attrs.define(kw_only=True)
class FailoverState:
    """State of each failover controller of this node."""

    detection_state: detection.DetectionState = attrs.field(
        factory=detection.DetectionState
    )
    reachability_state: reachability.ReachabilityState = attrs.field(
        factory=reachability.ReachabilityState
    )
    promotion_state: promotion.PromotionState = attrs.field(
        factory=promotion.PromotionState
    )
    lease_state: leases.LeaseState = attrs.field(factory=leases.LeaseState)
    term_state: terms.TermState = attrs.field(factory=terms.TermState)
