"""State of the failover controllers on the blackboard."""

import attrs

from hyssopshelf.failover import detection, leases, promotion, reachability, terms


@attrs.define(kw_only=True)
class FailoverState:
    """State of detection, promotion and the spreading of terms."""

    watching: detection.DetectionState = attrs.field(factory=detection.DetectionState)
    asking: reachability.ReachabilityState = attrs.field(
        factory=reachability.ReachabilityState
    )
    promotions: promotion.PromotionState = attrs.field(factory=promotion.PromotionState)
    stored: leases.LeaseState = attrs.field(factory=leases.LeaseState)
    spreading: terms.TermState = attrs.field(factory=terms.TermState)
