package config

import (
	"fmt"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"

	hoist "fuchsiahoist.example/hoist"
)

// Problem is one reason why a document is not valid. Key is the TOML key that it
// concerns.
type Problem struct {
	Key    string
	Reason string
}

// String formats p for operators.
func (p Problem) String() string {
	return p.Key + ": " + p.Reason
}

type problemsKey struct{}

func problemsError(problems []Problem) error {
	messages := make([]string, len(problems))
	for i, p := range problems {
		messages[i] = p.String()
	}
	return merry.Wrap(ErrDocument, merry.AppendMessage(strings.Join(messages, "; ")), merry.WithValue(problemsKey{}, problems))
}

// Problems returns the problems that an ErrDocument error names, and nil for other
// errors.
func Problems(err error) []Problem {
	problems, _ := merry.Value(err, problemsKey{}).([]Problem)
	return problems
}

// Bounds of the values in a document.
const (
	maxQueueLength = 1_000_000
	maxReplicas    = 100_000
	maxWeight      = 10_000
	maxPriority    = 1000
	maxColumnWidth = 200
	maxDecimals    = 6
	maxNameBytes   = 100
)

// checker collects the problems of a document.
type checker struct {
	problems []Problem
}

func (c *checker) add(key, format string, args ...any) {
	c.problems = append(c.problems, Problem{key, fmt.Sprintf(format, args...)})
}

func (c *checker) checkRange(key string, value, low, high int) {
	if value < low || value > high {
		c.add(key, "is %d, expected %d to %d", value, low, high)
	}
}

// name checks the syntax of a name and that it is not in seen, and adds it there.
func (c *checker) name(key, name string, seen map[string]bool) {
	switch {
	case name == "" || len(name) > maxNameBytes:
		c.add(key, "is %q, expected 1 to %d bytes", name, maxNameBytes)
	case strings.ContainsAny(name, "/:\n\r\t "):
		c.add(key, "is %q, expected no spaces, slash or colon", name)
	case seen[name]:
		c.add(key, "is %q a second time", name)
	}
	seen[name] = true
}

// check returns all problems that can be found without knowing the cell.
func (d Document) check() []Problem {
	c := &checker{}
	if d.Version == 0 {
		c.add("version", "is missing")
	}
	c.name("change-id", string(d.ChangeID), map[string]bool{})
	c.checkRange("limits.queue-per-customer", d.Limits.QueuePerCustomer, 1, maxQueueLength)
	c.checkRange("limits.queue-total", d.Limits.QueueTotal, d.Limits.QueuePerCustomer, maxQueueLength)
	c.checkRange("limits.retry-percent", d.Limits.RetryPercent, 0, 100)
	d.checkClasses(c)
	d.checkCustomers(c)
	d.checkTeams(c)
	d.checkServices(c)
	d.checkReports(c)
	d.checkDrains(c)
	return c.problems
}

func (d Document) checkDrains(c *checker) {
	seen := make(map[hoist.HostKind]map[string]bool)
	for i, drain := range d.Drains {
		key := fmt.Sprintf("drains[%d]", i)
		if drain.Kind != hoist.HostKindWorker && drain.Kind != hoist.HostKindExecutor {
			c.add(key+".kind", "is %q, expected worker or executor", drain.Kind)
			continue
		}
		if seen[drain.Kind] == nil {
			seen[drain.Kind] = make(map[string]bool)
		}
		c.name(key+".name", drain.Name, seen[drain.Kind])
	}
}

func (d Document) checkClasses(c *checker) {
	seen := make(map[string]bool)
	for i, class := range d.Classes {
		key := fmt.Sprintf("classes[%d]", i)
		c.name(key+".name", string(class.Name), seen)
		if !class.Name.IsValid() {
			c.add(key+".name", "is %q, expected quick, patient or watch", class.Name)
		}
		if class.Wait <= 0 || time.Duration(class.Wait) > 24*time.Hour {
			c.add(key+".wait", "is %s, expected more than 0s, up to 24h", time.Duration(class.Wait))
		}
		if class.GoodPercent < 50 || class.GoodPercent >= 100 {
			c.add(key+".good-percent", "is %g, expected 50 or more and less than 100", class.GoodPercent)
		}
	}
	for _, class := range []hoist.Class{hoist.Quick, hoist.Patient, hoist.Watch} {
		if !seen[string(class)] {
			c.add("classes", "has no class %q", class)
		}
	}
}

func (d Document) checkCustomers(c *checker) {
	seen := make(map[string]bool)
	for i, customer := range d.Customers {
		key := fmt.Sprintf("customers[%d]", i)
		c.name(key+".name", string(customer.Name), seen)
		c.checkRange(key+".weight", customer.Weight, 1, maxWeight)
	}
}

func (d Document) checkTeams(c *checker) {
	seen := make(map[string]bool)
	for i, team := range d.Teams {
		key := fmt.Sprintf("teams[%d]", i)
		c.name(key+".name", string(team.Name), seen)
		c.checkRange(key+".max-priority", int(team.MaxPriority), 0, maxPriority)
		if !team.Quota.Resources().IsValid() {
			c.add(key+".quota", "is %v, expected a positive amount", team.Quota.Resources())
		}
	}
}

func (d Document) checkServices(c *checker) {
	seen := make(map[string]bool)
	for i, s := range d.Services {
		key := fmt.Sprintf("services[%d]", i)
		c.name(key+".name", string(s.Name), seen)
		c.checkRange(key+".replicas", s.Replicas, 0, maxReplicas)
		if !s.Need.Resources().IsValid() {
			c.add(key+".need", "is %v, expected a positive amount", s.Need.Resources())
		}
		d.checkServiceTeam(c, key, s)
		for j, customer := range s.Customers {
			if !d.hasCustomer(customer) {
				c.add(fmt.Sprintf("%s.customers[%d]", key, j), "customer %q does not exist", customer)
			}
		}
	}
}

func (d Document) checkServiceTeam(c *checker, key string, s Service) {
	team, ok := d.Team(s.Team)
	if !ok {
		c.add(key+".team", "team %q does not exist", s.Team)
		return
	}
	total := multiply(s.Need.Resources(), s.Replicas)
	if !total.Fits(team.Quota.Resources()) {
		c.add(key+".replicas", "%d replicas need %v, the quota of team %q is %v", s.Replicas, total, s.Team, team.Quota.Resources())
	}
}

func multiply(r hoist.Resources, n int) hoist.Resources {
	return hoist.Resources{
		CPU:    r.CPU * hoist.MilliCPU(n),
		Memory: r.Memory * hoist.MiB(n),
		Accel:  r.Accel * hoist.Accelerators(n),
	}
}

func (d Document) hasCustomer(name hoist.CustomerID) bool {
	for _, c := range d.Customers {
		if c.Name == name {
			return true
		}
	}
	return false
}

func (d Document) checkReports(c *checker) {
	seen := make(map[string]bool)
	for i, r := range d.Reports {
		key := fmt.Sprintf("reports[%d]", i)
		c.name(key+".name", string(r.Name), seen)
		if _, ok := reportFields[r.Name]; !ok {
			c.add(key+".name", "is %q, expected one of %v", r.Name, reportNames)
			continue
		}
		if len(r.Columns) == 0 {
			c.add(key+".columns", "is empty")
		}
		for j, column := range r.Columns {
			columnKey := fmt.Sprintf("%s.columns[%d]", key, j)
			if _, ok := findField(r.Name, column.Field); !ok {
				c.add(columnKey+".field", "report %q has no field %q", r.Name, column.Field)
			}
			c.checkRange(columnKey+".width", column.Width, 1, maxColumnWidth)
			c.checkRange(columnKey+".decimals", column.Decimals, 0, maxDecimals)
		}
	}
}

// Cell is the capacity of a cell that a document is checked against.
type Cell struct {
	// Total is the capacity of all workers together.
	Total hoist.Resources
	// Workers lists the capacity of each worker.
	Workers []hoist.Resources
}

// CheckCell checks a document against the capacity of the cell. It returns an
// ErrDocument that names quotas above the total capacity and services whose tasks
// fit on no worker. It returns nil for a cell without workers, as its capacity is
// not known.
func (d Document) CheckCell(cell Cell) error {
	if len(cell.Workers) == 0 {
		return nil
	}
	c := &checker{}
	for i, team := range d.Teams {
		if quota := team.Quota.Resources(); !quota.Fits(cell.Total) {
			c.add(fmt.Sprintf("teams[%d].quota", i), "is %v, the cell holds %v", quota, cell.Total)
		}
	}
	for i, s := range d.Services {
		if need := s.Need.Resources(); !fitsAny(need, cell.Workers) {
			c.add(fmt.Sprintf("services[%d].need", i), "is %v, no worker is that large", need)
		}
	}
	if len(c.problems) > 0 {
		return problemsError(c.problems)
	}
	return nil
}

func fitsAny(need hoist.Resources, workers []hoist.Resources) bool {
	for _, w := range workers {
		if need.Fits(w) {
			return true
		}
	}
	return false
}
