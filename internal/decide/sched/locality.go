package sched

import (
	"cmp"
	"iter"
	"math"
	"slices"
	"time"

	hoist "fuchsiahoist.example/hoist"
)

const (
	// DefaultMaxNearWait is the longest time that a step waits for a near placement. It is
	// half of the 3 s for which a job may stay without a running task while there is free
	// capacity; the rest is for recording and sending the start.
	DefaultMaxNearWait = 1500 * time.Millisecond
	// nearCheckInterval is how often a step that waits for a near placement reconsiders.
	// Passes in between look at the near workers only.
	nearCheckInterval = 25 * time.Millisecond
	// takenDecay is the time constant of the learned rate at which tasks take places in a
	// rack.
	takenDecay = 2 * time.Second
	// maxWaitDivisor bounds a wait to a part of what a near placement saves, as forecasts of
	// a longer time are often wrong. In TestNearWaitGain half of the saving gives shorter
	// means than the whole or three quarters of it.
	maxWaitDivisor = 2
	// goldenRatio spreads numbered tasks over a range: the fractional parts of its multiples
	// are distributed evenly.
	goldenRatio = 0.6180339887
)

// NearChoice is the choice between a remote placement that is free now and a near one
// that is expected to become free. For a step with a preferred rack, a placement is near
// if it is on that rack; for a gang that prefers a single rack, if it is on one rack.
type NearChoice struct {
	Now time.Time
	// Near and Remote are the expected run times at the two placements, and Wait is the
	// expected time until the near one is free.
	Near, Remote, Wait time.Duration
	// Rest is the expected run time of the steps that follow.
	Rest time.Duration
	// Deadlines are the times by which the job should end, the earliest first. Each is
	// worth less than the one before.
	Deadlines [2]time.Time
	// Since is when the step began to wait, or Now.
	Since   time.Time
	MaxWait time.Duration
	// Latest is the latest end of the wait, by the tickets and the time spent on advice. It
	// is zero for a step without an adviser.
	Latest time.Time
}

// WaitUntil returns until when to wait for the near placement. It reports false if the
// remote one is to be taken now.
//
// Waiting pays if the step is expected to end earlier. It must not cost the job the
// earliest deadline that can still be met: if the remote placement meets it now, the wait
// ends while the remote placement still would.
func (c NearChoice) WaitUntil() (time.Time, bool) {
	if c.Wait+c.Near >= c.Remote {
		return time.Time{}, false
	}
	free := c.Now.Add(c.Wait)
	for _, deadline := range c.Deadlines {
		deadline = deadline.Add(-c.Rest)
		latest := deadline.Add(-c.Near)
		if free.After(latest) {
			continue
		}
		if !c.Now.Add(c.Remote).After(deadline) {
			latest = deadline.Add(-c.Remote)
		}
		latest = earlier(latest, c.Since.Add(min(c.MaxWait, (c.Remote-c.Near)/maxWaitDivisor)))
		if !c.Latest.IsZero() {
			latest = earlier(latest, c.Latest)
		}
		return latest, c.Now.Before(latest) && !free.After(latest)
	}
	return time.Time{}, false
}

// nearWait is the wait of a step for a near placement. It is not recorded: a later owner
// lets no step wait that could have waited before.
type nearWait struct {
	// since is when the wait began; it is zero if the step has not waited. The limit on
	// the wait counts from then on, so that it holds for all waits of the step together.
	since time.Time
	// rack is the rack that the step waits for.
	rack hoist.RackID
	// checkAt is when the choice is made again. Until then only near workers are
	// candidates.
	checkAt time.Time
	// isOver is set once the step may wait no more, and isCounted once the outcome is in
	// the counts.
	isOver, isCounted bool
}

// NearWaits counts the steps that waited for a near placement.
type NearWaits struct {
	// Begun counts the steps that began to wait, Near those whose tasks were all placed
	// near afterwards, and Remote those that gave up. Steps of jobs that ended meanwhile are
	// in neither of the latter.
	Begun, Near, Remote uint64
}

// localities holds what the scheduler knows about the demand for near placements. The
// forecasts and claims are those of one pass.
type localities struct {
	passNo    uint64
	forecasts map[rackKey]*rackForecast
	// claims holds what the steps that were considered earlier in the pass wait for.
	claims map[rackKey]hoist.Resources
	taken  map[rackKey]takenRate
	counts NearWaits
}

// rackKey identifies a rack among the workers of a service.
type rackKey struct {
	service hoist.ServiceName
	rack    hoist.RackID
}

func newLocalities() localities {
	return localities{
		forecasts: make(map[rackKey]*rackForecast), claims: make(map[rackKey]hoist.Resources), taken: make(map[rackKey]takenRate),
	}
}

// begin discards what belongs to an earlier pass.
func (l *localities) begin(passNo uint64) {
	if l.passNo != passNo {
		l.passNo = passNo
		clear(l.forecasts)
		clear(l.claims)
	}
}

// TakeNearWaits returns the counts since the last call.
func (sc *Scheduler) TakeNearWaits() NearWaits {
	counts := sc.localities.counts
	sc.localities.counts = NearWaits{}
	return counts
}

// takenRate is the rate at which tasks placed in a rack take CPU, kept as a sum that decays
// with the time constant takenDecay.
type takenRate struct {
	cpu float64
	at  time.Time
}

func (r takenRate) add(cpu hoist.MilliCPU, now time.Time) takenRate {
	return takenRate{r.decayed(now) + float64(cpu), now}
}

func (r takenRate) decayed(now time.Time) float64 {
	return r.cpu * math.Exp(-float64(now.Sub(r.at))/float64(takenDecay))
}

// within returns the CPU that is expected to be taken within a time.
func (r takenRate) within(d time.Duration, now time.Time) float64 {
	return r.decayed(now) * float64(d) / float64(takenDecay)
}

// rackForecast is when capacity in a rack is expected to become free.
type rackForecast struct {
	workers  []*Worker
	releases []release
	// slowness is the mean slowness of the workers, near to the data.
	slowness float64
}

// release is the expected end of a task.
type release struct {
	after time.Duration
	// worker is the index of the worker in the forecast.
	worker int
	need   hoist.Resources
}

// forecast returns the forecast of a rack for this pass. Tasks placed in this pass are
// left out: they end too late to be worth waiting for.
func (sc *Scheduler) forecast(key rackKey, now time.Time) *rackForecast {
	sc.localities.begin(sc.passNo)
	if f, ok := sc.localities.forecasts[key]; ok {
		return f
	}
	f := sc.newForecast(sc.order(key.service).byRack[key.rack], now)
	sc.localities.forecasts[key] = f
	return f
}

// newForecast returns the forecast of those workers that are usable.
func (sc *Scheduler) newForecast(workers []rankedWorker, now time.Time) *rackForecast {
	f := &rackForecast{}
	for _, w := range workers {
		if !sc.isUsableNow(w.Worker) {
			continue
		}
		for t := range w.tasks {
			if after, ok := sc.remainingRunTime(t, now); ok {
				f.releases = append(f.releases, release{after, len(f.workers), demand(t.StepTasks.Step)})
			}
		}
		f.workers = append(f.workers, w.Worker)
		f.slowness += sc.slowness(w.Worker, false)
	}
	f.slowness /= float64(max(1, len(f.workers)))
	slices.SortFunc(f.releases, func(x, y release) int {
		return cmp.Or(cmp.Compare(x.after, y.after), cmp.Compare(x.worker, y.worker), cmp.Compare(x.need.CPU, y.need.CPU))
	})
	return f
}

// remainingRunTime estimates when a placed task ends. The run times of a queue scatter
// around the expected one, so the tasks of a step that began together are taken to end
// one after the other in that range. A task that is past the range is assumed to take as
// long again as it is overdue. It reports false if the end cannot be expected.
func (sc *Scheduler) remainingRunTime(t *Task, now time.Time) (time.Duration, bool) {
	s := t.StepTasks
	if s.Step.IsLongRunning || s.Step.Estimate <= 0 {
		return 0, false
	}
	expected, elapsed := sc.expectedRunTime(s, t.Worker), now.Sub(t.phaseSince)
	half := time.Duration(sc.speeds.scatterOf(s.Job.Plan.Queue.Name) * float64(expected))
	first, last := max(elapsed, expected-half), expected+half
	if elapsed >= last {
		return elapsed - expected, true
	}
	share := 0.5
	if !s.Step.IsGang {
		_, share = math.Modf(float64(t.Index) * goldenRatio)
	}
	return first - elapsed + time.Duration(share*float64(last-first)), true
}

// waits returns the expected times until the rack has room for the first task of a step
// after those that others claim, for the second one, and so on up to count. The
// result is shorter if no more places are expected.
func (f *rackForecast) waits(sc *Scheduler, s *StepTasks, tickets expectedTickets, claimed, count int) []time.Duration {
	out := make([]time.Duration, 0, count)
	for growth := range f.growth(sc, s, tickets, claimed) {
		for len(out) < count && float64(len(out)+1) <= growth.places {
			out = append(out, growth.after)
		}
		if len(out) == count {
			break
		}
	}
	return out
}

// growth is a time at which a worker has more room for tasks of a step.
type growth struct {
	after  time.Duration
	worker *Worker
	// places is how many tasks the rack can take from then on, by the chances of tickets.
	places float64
}

// growth returns the times at which the rack has more room for tasks of a step, in order.
// The claimed places are left out.
func (f *rackForecast) growth(sc *Scheduler, s *StepTasks, tickets expectedTickets, claimed int) iter.Seq[growth] {
	return func(yield func(growth) bool) {
		free := make([]hoist.Resources, len(f.workers))
		counted := make([]float64, len(f.workers))
		chances := make([]ticketChance, len(f.workers))
		sum, nextExpiry := 0.0, maxDuration
		for i, w := range f.workers {
			free[i], chances[i] = w.free(), tickets.chance(w)
			counted[i] = chances[i].share * float64(sc.placesIn(s, w, free[i]))
			sum += chances[i].share
			nextExpiry = min(nextExpiry, chances[i].expiresAfter)
		}
		// The claims are met by all workers of the rack, and the step uses a part of them.
		places := -math.Ceil(float64(claimed) * sum / float64(max(1, len(f.workers))))
		for i, w := range f.workers {
			places += counted[i]
			if counted[i] > 0 && !yield(growth{0, w, places}) {
				return
			}
		}
		for _, r := range f.releases {
			if r.after >= nextExpiry {
				nextExpiry = maxDuration
				for i, c := range chances {
					if c.expiresAfter > r.after {
						nextExpiry = min(nextExpiry, c.expiresAfter)
						continue
					}
					places -= counted[i]
					counted[i], chances[i].share = 0, 0
				}
			}
			w := f.workers[r.worker]
			free[r.worker] = free[r.worker].Add(r.need)
			before := counted[r.worker]
			counted[r.worker] = chances[r.worker].share * float64(sc.placesIn(s, w, free[r.worker]))
			places += counted[r.worker] - before
			if counted[r.worker] > before && !yield(growth{r.after, w, places}) {
				return
			}
		}
	}
}

// placesIn returns how many tasks of a step fit into the given room of a worker.
func (sc *Scheduler) placesIn(s *StepTasks, w *Worker, room hoist.Resources) int {
	if !sc.isCandidate(s, w) {
		return 0
	}
	n := fitCount(demand(s.Step), room)
	if s.Step.MaxPerWorker > 0 {
		n = min(n, s.Step.MaxPerWorker-s.countOn(w))
	}
	return max(0, n)
}

// claim adds what the waiting tasks of a step will take of a rack, for the steps that
// follow in the pass.
func (sc *Scheduler) claim(key rackKey, s *StepTasks) {
	sc.localities.begin(sc.passNo)
	need, c, n := demand(s.Step), sc.localities.claims[key], s.waiting
	c.CPU += need.CPU * hoist.MilliCPU(n)
	c.Memory += need.Memory * hoist.MiB(n)
	c.Accel += need.Accel * hoist.Accelerators(n)
	sc.localities.claims[key] = c
}

// claimedPlaces returns how many places for tasks of a step the claims of other steps
// take.
func (sc *Scheduler) claimedPlaces(key rackKey, s *StepTasks) int {
	sc.localities.begin(sc.passNo)
	need, c := demand(s.Step), sc.localities.claims[key]
	n := 0
	for _, part := range [...]struct{ need, claimed int64 }{
		{int64(need.CPU), int64(c.CPU)}, {int64(need.Memory), int64(c.Memory)}, {int64(need.Accel), int64(c.Accel)},
	} {
		if part.need > 0 {
			n = max(n, int((part.claimed+part.need-1)/part.need))
		}
	}
	return n
}

// recordTaken learns at which rate tasks take places in a rack.
func (sc *Scheduler) recordTaken(t *Task, now time.Time) {
	key := rackKey{t.Worker.entry.Service, t.Worker.entry.Rack}
	sc.localities.taken[key] = sc.localities.taken[key].add(demand(t.StepTasks.Step).CPU, now)
}

// hasNear reports whether some placements of the step are near and others remote.
func (s *StepTasks) hasNear() bool {
	return s.Step.PreferredRack != "" || s.Step.IsGang && s.Step.PrefersSameRack
}

// wantedRack returns the rack that the waiting tasks of the step will take places of, or
// an empty name.
func (s *StepTasks) wantedRack(now time.Time) hoist.RackID {
	if s.Step.PreferredRack == "" && now.Before(s.near.checkAt) {
		return s.near.rack
	}
	return s.Step.PreferredRack
}

// mayWaitNear reports whether a step may wait for a near placement. A long-running task has
// no end that the wait could bring forward.
func (sc *Scheduler) mayWaitNear(s *StepTasks) bool {
	return sc.MaxNearWait > 0 && !s.near.isOver && s.Step.Estimate > 0 && !s.Step.IsLongRunning
}

// considersNearOnly reports whether only near workers are candidates for a step in this
// pass.
func (sc *Scheduler) considersNearOnly(s *StepTasks) bool {
	return sc.passAt.Before(s.near.checkAt)
}

// choice returns the choice for a step, without the wait. The workers are those of the
// remote placement.
func (sc *Scheduler) choice(s *StepTasks, near, remote time.Duration, workers []*Worker, now time.Time) NearChoice {
	since := s.near.since
	if since.IsZero() {
		since = now
	}
	return NearChoice{
		Now: now, Near: near, Remote: remote, Rest: sc.restTime(s), Deadlines: [...]time.Time{s.Job.due, s.Job.deprioritiseAt},
		Since: since, MaxWait: sc.MaxNearWait, Latest: sc.latestNearWait(s, now, workers),
	}
}

// restTime estimates the run time of the steps of a job that follow a step.
func (sc *Scheduler) restTime(s *StepTasks) time.Duration {
	j := s.Job
	if j.rests == nil {
		j.rests = restTimes(j.Plan.Steps)
	}
	return time.Duration(float64(j.rests[s.No]) * sc.speeds.queue[j.Plan.Queue.Name].orDefault(1))
}

// restTimes returns, for each step, the longest total of the declared run times along a
// chain of steps that follow it.
func restTimes(steps []hoist.Step) []time.Duration {
	rests := make([]time.Duration, len(steps))
	for no, s := range slices.Backward(steps) {
		for _, earlier := range s.After {
			rests[earlier] = max(rests[earlier], rests[no]+s.Estimate)
		}
	}
	return rests
}

// tasksWaitNear reports whether the waiting tasks of a step, of which there are count,
// wait for its preferred rack instead of starting on the remote worker, the best one with
// room. All of them wait or none, as the step ends with its last task.
func (sc *Scheduler) tasksWaitNear(s *StepTasks, remote *Worker, count int, now time.Time) bool {
	if !sc.mayWaitNear(s) {
		return false
	}
	key := rackKey{s.Job.Plan.Queue.Service, s.Step.PreferredRack}
	f := sc.forecast(key, now)
	near := sc.runTime(s, f.slowness)
	c := sc.choice(s, near, sc.expectedRunTime(s, remote), []*Worker{remote}, now)
	waits := f.waits(sc, s, sc.heldTickets(s, now), sc.claimedPlaces(key, s), count)
	if len(waits) < count {
		s.giveUpNearWait()
		return false
	}
	c.Wait = waits[count-1]
	return sc.waitIfWorthwhile(s, c, s.Step.PreferredRack, now)
}

// gangWaitsNear reports whether a gang that fits on no single rack, or not on its
// preferred one, waits for one although it could start remote now.
func (sc *Scheduler) gangWaitsNear(s *StepTasks, workers []*Worker, now time.Time) bool {
	if !sc.mayWaitNear(s) || sc.numPlaces(s, workers) < len(s.Tasks) {
		return false
	}
	if now.Before(s.near.checkAt) {
		return true
	}
	service := s.Job.Plan.Queue.Service
	var best NearChoice
	var bestRack hoist.RackID
	hasBest := false
	for _, rack := range sc.nearRacks(s) {
		c, ok := sc.gangChoice(s, rackKey{service, rack}, workers, now)
		if ok && (!hasBest || c.Wait+c.Near < best.Wait+best.Near) {
			best, bestRack, hasBest = c, rack, true
		}
	}
	if !hasBest {
		s.giveUpNearWait()
		return false
	}
	return sc.waitIfWorthwhile(s, best, bestRack, now)
}

// gangChoice returns the choice for a gang if it is placed on a rack. A gang cannot hold
// the places that become free one by one, so those that other tasks take meanwhile count
// as claimed. It reports false if no room for the whole gang is expected.
func (sc *Scheduler) gangChoice(s *StepTasks, key rackKey, workers []*Worker, now time.Time) (NearChoice, bool) {
	f := sc.forecast(key, now)
	near := sc.runTime(s, f.slowness)
	c := sc.choice(s, near, time.Duration(float64(near)*sc.RemoteFactor), workers, now)
	claimed, tickets := sc.claimedPlaces(key, s), sc.heldTickets(s, now)
	waits := f.waits(sc, s, tickets, claimed, len(s.Tasks))
	if len(waits) < len(s.Tasks) {
		return c, false
	}
	c.Wait = waits[len(waits)-1]
	if cpu := demand(s.Step).CPU; cpu > 0 && c.Wait > 0 {
		claimed += int(math.Ceil(sc.localities.taken[key].within(c.Wait, now) / float64(cpu)))
		waits = f.waits(sc, s, tickets, claimed, len(s.Tasks))
		if len(waits) < len(s.Tasks) {
			return c, false
		}
		c.Wait = waits[len(waits)-1]
	}
	return c, true
}

// nearRacks returns the racks on each of which the tasks of a step would be near.
func (sc *Scheduler) nearRacks(s *StepTasks) []hoist.RackID {
	if s.Step.PreferredRack != "" {
		return []hoist.RackID{s.Step.PreferredRack}
	}
	return sc.racks(s.Job.Plan.Queue.Service)
}

// racks returns the racks of a service in a fixed order.
func (sc *Scheduler) racks(service hoist.ServiceName) []hoist.RackID {
	var out []hoist.RackID
	for rack := range sc.order(service).byRack {
		out = append(out, rack)
	}
	slices.Sort(out)
	return out
}

// numPlaces returns how many tasks of a step fit on workers now.
func (sc *Scheduler) numPlaces(s *StepTasks, workers []*Worker) int {
	n := 0
	for _, w := range workers {
		n += s.places(w, false)
	}
	return n
}

// waitIfWorthwhile makes a step wait for the given rack, or continue to wait, if that pays.
func (sc *Scheduler) waitIfWorthwhile(s *StepTasks, c NearChoice, rack hoist.RackID, now time.Time) bool {
	until, ok := c.WaitUntil()
	if !ok {
		s.giveUpNearWait()
		return false
	}
	if s.near.since.IsZero() {
		s.near.since = now
		sc.localities.counts.Begun++
	}
	s.near.rack = rack
	s.near.checkAt = earlier(until, now.Add(nearCheckInterval))
	return true
}

// giveUpNearWait makes a step give up its wait for a near placement, if it waits.
func (s *StepTasks) giveUpNearWait() {
	s.near.isOver = !s.near.since.IsZero()
}

// earlier returns the earlier of two times.
func earlier(x, y time.Time) time.Time {
	if y.Before(x) {
		return y
	}
	return x
}

// countNearWait counts how the wait of a step ended, if it has waited. It is called after
// each placement, and does nothing while tasks of the step still wait.
func (sc *Scheduler) countNearWait(s *StepTasks) {
	if s.near.since.IsZero() || s.near.isCounted || s.waiting > 0 {
		return
	}
	s.near.isCounted = true
	if s.near.isOver {
		sc.localities.counts.Remote++
	} else {
		sc.localities.counts.Near++
	}
}

// endRestoredNearWaits ends the waits of the steps of a recovered job that are ready: the
// earlier owner may have let them wait as long as is allowed.
func (j *Job) endRestoredNearWaits() {
	for _, s := range j.steps {
		s.near.isOver = j.isReady(s)
	}
}
