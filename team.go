package hoist

// TeamUsage is what the owner of a cell knows of a team, for metrics and logs.
type TeamUsage struct {
	Team TeamID
	// Waiting is the number of jobs with waiting tasks. Of these, AtQuota cannot start any
	// because of the quota, BeyondRate are beyond the rate, and TooLarge have a gang that
	// needs more than the whole quota.
	Waiting, AtQuota, BeyondRate, TooLarge int
	// Used is what may be running, and Quota the quota; a component of 0 means no limit.
	Used, Quota Resources
	// Share is the largest share of a resource of the cell that the team holds, and
	// FairShare its weighted share of what all teams with jobs hold together.
	Share, FairShare float64
}
