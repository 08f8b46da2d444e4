package cowslipcart.core.forwarding

/**
 * Part of this host in spreading what hosts know.
 *
 * @property dutyRank place of this host in the order in which the hosts of its group take duties,
 * from 0
 */
public data class ReportPlan(public val dutyRank: Int) {
    public companion object {
        /** A host that knows of no other one takes all duties. */
        public val ALONE: ReportPlan = ReportPlan(dutyRank = 0)
    }
}
