package limit

import (
	"fmt"
	"net/netip"
	"time"

	hoist "fuchsiahoist.example/hoist"
)

// Limits of the registry entry of a worker.
const (
	maxWorkerCPU    hoist.MilliCPU     = 100_000_000
	maxWorkerMemory hoist.MiB          = 1 << 32
	maxWorkerAccel  hoist.Accelerators = 100_000
	// maxLabels and maxLabelLength bound the labels of a worker.
	maxLabels      = 100
	maxLabelLength = 200
	// maxWorkerID bounds the id of a worker, which is recorded with each attempt: the names of
	// 300 workers, the most tasks of a gang, fit into a row of the store.
	maxWorkerID = 128
	// maxRemaining bounds the time that a leaving worker has left.
	maxRemaining = 24 * time.Hour
)

// CheckWorker returns a *Violation if a value of a registry entry is out of range.
// Such an entry names no worker to use.
func CheckWorker(e hoist.WorkerEntry) error {
	if err := checkAddr(e.Addr); err != nil {
		return err
	}
	err := first(
		between(noStep, FieldCPU, e.Capacity.CPU, 0, maxWorkerCPU),
		between(noStep, FieldMemory, e.Capacity.Memory, 0, maxWorkerMemory),
		between(noStep, FieldAccelerators, e.Capacity.Accel, 0, maxWorkerAccel),
		between(noStep, "remaining", e.Remaining, 0, maxRemaining),
		between(noStep, "worker length", len(e.Worker), 1, maxWorkerID),
		between(noStep, "labels", len(e.Labels), 0, maxLabels),
	)
	if err != nil {
		return err
	}
	for _, l := range e.Labels {
		if err := between(noStep, "label length", len(l), 0, maxLabelLength); err != nil {
			return err
		}
	}
	return nil
}

// checkAddr checks that addr is a unicast IP address with a port.
func checkAddr(addr string) error {
	parsed, err := netip.ParseAddrPort(addr)
	isUsable := err == nil && parsed.Port() > 0 && !parsed.Addr().IsUnspecified() && !parsed.Addr().IsMulticast()
	if isUsable {
		return nil
	}
	return &Violation{noStep, "address", fmt.Sprintf("%.100q", addr), "an IP address and a port from 1 to 65535"}
}
