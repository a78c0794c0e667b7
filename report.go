package hoist

// Window counts the requests in a time window.
type Window struct {
	// Good counts the requests that met the objective of their class.
	Good  uint64
	Total uint64
}

// ClassReport is a host's statistics of one class of requests.
type ClassReport struct {
	Class Class
	// Windows holds the counts of the last 5 minutes, 1 hour and 6 hours.
	Windows []Window
	// Waits is the histogram of waiting times in microseconds, in the
	// compressed form of HdrHistogram.
	Waits []byte
}

// Percent is a share of a whole, or CPU time in percent of one core.
type Percent float64

// HostCost is the resource use of the control plane on one host.
type HostCost struct {
	Shards int
	CPU    Percent
	// Memory is the memory that the process has obtained from the operating
	// system.
	Memory MiB
	// Messages is the rate of messages between hosts, per second.
	Messages float64
}

// HostReport is one host's contribution to the reports of the cell.
type HostReport struct {
	Host    HostID
	Classes []ClassReport
	Workers []Candidate
	Cost    HostCost
}
