package sched

import (
	"cmp"
	"maps"
	"slices"
	"time"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/decide/place"
)

// The causes why a worker takes no task of a step, beside those of package place.
const (
	causeService  place.Cause = "of another service"
	causeLabel    place.Cause = "without the required label"
	causeSilent   place.Cause = "without a recent report"
	causeUnproven place.Cause = "with attempts that may still run although no task expects them"
	causeEnds     place.Cause = "with too many ends to acknowledge"
	causeSpread   place.Cause = "with as many tasks of the step as allowed"
)

// Explain returns where a plan would be placed if it were accepted now, with at most
// maxCandidates workers for each step. It places the plan with the code of a pass, in a
// copy of the scheduler, and changes nothing. Advice is taken to allow all workers.
func (sc *Scheduler) Explain(p hoist.Plan, maxCandidates int, now time.Time) hoist.PlanExplanation {
	sc.settleRates(now)
	dry := sc.copyForExplain()
	dry.copyTeam(p.Team)
	// No plan has an empty id. Accepted plans of the same time come after it.
	p.ID, p.Occurrences, p.Accepted = "", 0, now
	p.Queue.Advice = hoist.AdviserConfig{}
	j := dry.newJob(p, 0)
	dry.jobs[p.ID] = j
	for no := range p.Steps {
		dry.addStepTasks(j, 0, hoist.StepNo(no))
	}
	dry.findUsableWorkers(now)
	within, beyond := dry.inOrder(now, (*Job).hasWaiting)
	order := slices.Concat(within, beyond)
	out := hoist.PlanExplanation{Term: sc.term, Waiting: len(order) - 1, Ahead: max(0, slices.Index(order, j)), Team: sc.standing(j)}
	dry.claimAhead(order[:out.Ahead], p.Queue.Service)
	e := explainer{dry: dry, now: now, maxCandidates: maxCandidates, ends: make([]time.Duration, len(p.Steps))}
	for no := range p.Steps {
		out.Steps = append(out.Steps, e.explainStep(j.steps[stepKey{0, hoist.StepNo(no)}]))
	}
	for _, s := range j.steps {
		e.release(s)
	}
	return out
}

// copyForExplain returns a copy in which a plan can be placed without any effect on the
// scheduler. Everything that placing changes is copied.
func (sc *Scheduler) copyForExplain() *Scheduler {
	dry := *sc
	dry.jobs = maps.Clone(sc.jobs)
	dry.changed = make(map[hoist.PartName]map[hoist.JobID]*Job)
	dry.orders = make(map[hoist.ServiceName]*workerOrder)
	dry.usable, dry.backedOff, dry.reserved = nil, nil, nil
	dry.stopping = make(map[*Task]bool)
	dry.localities = newLocalities()
	dry.localities.taken = maps.Clone(sc.localities.taken)
	dry.workers = make(map[hoist.WorkerID]*Worker, len(sc.workers))
	for id, w := range sc.workers {
		c := *w
		c.tasks = maps.Clone(w.tasks)
		dry.workers[id] = &c
	}
	return &dry
}

// copyTeam replaces a team by a copy, to which a job can be added without any effect on
// the original.
func (sc *Scheduler) copyTeam(id hoist.TeamID) {
	sc.teams.byID = maps.Clone(sc.teams.byID)
	sc.teams.unsettled = make(map[*team]bool)
	if t, ok := sc.teams.byID[id]; ok {
		c := *t
		c.bucket = t.bucket.Clone()
		sc.teams.byID[id] = &c
	}
}

// standing returns what the team of a job of a copy uses and may use.
func (sc *Scheduler) standing(j *Job) hoist.TeamStanding {
	if j.team == nil {
		return hoist.TeamStanding{}
	}
	out := hoist.TeamStanding{Team: j.Plan.Team, IsBeyondRate: j.rate.IsBeyond}
	for _, u := range sc.Teams() {
		if u.Team == j.Plan.Team {
			out.Used, out.Quota, out.Share, out.FairShare = u.Used, u.Quota, u.Share, u.FairShare
		}
	}
	return out
}

// maxForecastPlaces bounds the places that a forecast counts. More than that are claimed
// only if tiny tasks wait behind large ones.
const maxForecastPlaces = 20_000

// maxExplainedWorkers bounds the workers that an explanation looks at, over all steps, so
// that a plan of many steps does not keep a large cell waiting. The steps after that get
// neither candidates nor an expected start.
const maxExplainedWorkers = 20_000

// anyRack is the key under which the claims on all racks of a service are counted.
const anyRack hoist.RackID = ""

// claimAhead counts what the waiting tasks of earlier jobs need.
func (sc *Scheduler) claimAhead(ahead []*Job, service hoist.ServiceName) {
	for _, j := range ahead {
		if j.Plan.Queue.Service != service {
			continue
		}
		for _, s := range j.readySteps() {
			sc.claim(rackKey{service, anyRack}, s)
			if rack := s.wantedRack(sc.passAt); rack != anyRack {
				sc.claim(rackKey{service, rack}, s)
			}
		}
	}
}

// explainer explains the steps of one plan in turn.
type explainer struct {
	dry           *Scheduler
	now           time.Time
	maxCandidates int
	// ends holds how long after now each step is expected to end, up to the current one; it
	// is negative if that is not known.
	ends []time.Duration
	// all is the forecast of all workers of the service, once it is needed.
	all *rackForecast
	// looked counts the workers that were looked at.
	looked int
}

// explainStep places a step and returns its explanation. A step that waits for earlier ones
// is released again.
func (e *explainer) explainStep(s *StepTasks) hoist.StepExplanation {
	out := hoist.StepExplanation{Step: s.No, Count: s.Step.Count, IsReady: len(s.Step.After) == 0, Workers: len(e.dry.workers)}
	e.ends[s.No] = -1
	if e.looked >= maxExplainedWorkers {
		return out
	}
	workers := e.candidates(s)
	e.looked += len(workers)
	e.dry.placeOnCandidates(s, e.now)
	placed := make(map[hoist.WorkerID]int)
	for _, t := range s.Tasks {
		if t.IsPlaced() {
			placed[t.Worker.entry.Worker]++
			out.Placed++
		}
	}
	if e.now.Before(s.near.checkAt) && s.waiting > 0 {
		out.WaitsFor = s.near.rack
	}
	counts := make(map[hoist.RefusalCause]int)
	for i := range workers {
		workers[i].Placed = placed[workers[i].Worker]
		if cause := workers[i].Cause; cause != "" {
			counts[cause]++
		}
	}
	for _, cause := range slices.Sorted(maps.Keys(counts)) {
		out.Refusals = append(out.Refusals, hoist.Refusal{Cause: cause, Workers: counts[cause]})
	}
	out.Candidates = workers[:min(len(workers), max(0, e.maxCandidates))]
	out.StartsIn, out.IsStartKnown = e.expectedStart(s, out)
	if out.IsStartKnown {
		e.ends[s.No] = out.StartsIn + e.dry.runTime(s, 1)
	}
	if !out.IsReady {
		// Later steps do not hold their room yet.
		e.release(s)
	}
	return out
}

// release undoes the placement of a step.
func (e *explainer) release(s *StepTasks) {
	for _, t := range s.Tasks {
		if t.IsPlaced() {
			e.dry.requeue(t, e.now)
		}
	}
}

// candidates returns all workers for a step, those that have room first, each in the
// order of their score.
func (e *explainer) candidates(s *StepTasks) []hoist.ExplainedWorker {
	out := make([]hoist.ExplainedWorker, 0, len(e.dry.workers))
	for id, w := range e.dry.workers {
		isRemote := e.dry.isRemote(s, w)
		c := hoist.ExplainedWorker{
			Worker: id, Rack: w.entry.Rack, Score: e.dry.rank(w, isRemote), IsRemote: isRemote,
			RunTime: e.dry.expectedRunTime(s, w), Cause: hoist.RefusalCause(e.refusal(s, w)),
		}
		if c.Cause == "" {
			c.Places = s.places(w, false)
		}
		out = append(out, c)
	}
	slices.SortFunc(out, func(x, y hoist.ExplainedWorker) int {
		return cmp.Or(cmp.Compare(min(1, len(x.Cause)), min(1, len(y.Cause))), cmp.Compare(x.Score, y.Score), cmp.Compare(x.Worker, y.Worker))
	})
	return out
}

// refusal returns why a worker takes no task of a step, or an empty cause.
func (e *explainer) refusal(s *StepTasks, w *Worker) place.Cause {
	need, free, size := demand(s.Step), w.free(), w.entry.Capacity
	switch {
	case w.entry.Service != s.Job.Plan.Queue.Service:
		return causeService
	case !e.dry.isCandidate(s, w):
		return causeLabel
	case w.entry.IsLeaving || !w.isListed:
		return place.Leaving
	case need.CPU > size.CPU:
		return place.TooFewCores
	case need.Memory > size.Memory:
		return place.TooLittleMemory
	case need.Accel > size.Accel:
		return place.TooFewAccelerators
	case w.isBackedOff(e.now):
		return place.Failing
	case len(w.orphans) > 0 || w.isDoubted():
		return causeUnproven
	case !w.isUsable(e.now):
		return causeSilent
	case need.CPU > free.CPU:
		return place.NoCoresFree
	case need.Memory > free.Memory:
		return place.NoMemoryFree
	case need.Accel > free.Accel:
		return place.NoAcceleratorsFree
	case !e.dry.hasRoomForEnd(w):
		return causeEnds
	case !e.dry.fits(s, w):
		return causeSpread
	}
	return ""
}

// expectedStart estimates how long after now the first task of a step starts, or the whole
// gang. It reports false if that cannot be expected.
func (e *explainer) expectedStart(s *StepTasks, x hoist.StepExplanation) (time.Duration, bool) {
	var earliest time.Duration
	for _, earlier := range s.Step.After {
		if e.ends[earlier] < 0 {
			return 0, false
		}
		earliest = max(earliest, e.ends[earlier])
	}
	if x.Placed > 0 || x.Count == 0 {
		return earliest, true
	}
	rack, count := x.WaitsFor, 1
	if s.Step.IsGang {
		count = len(s.Tasks)
	}
	key := rackKey{s.Job.Plan.Queue.Service, rack}
	f := e.forecast(key)
	wait, ok := f.start(e.dry, s, e.dry.claimedPlaces(key, s), count)
	return max(earliest, wait), ok
}

// forecast returns the forecast of a rack, or that of all workers of the service.
func (e *explainer) forecast(key rackKey) *rackForecast {
	if key.rack != anyRack {
		return e.dry.forecast(key, e.now)
	}
	if e.all == nil {
		e.all = e.dry.newForecast(e.dry.order(key.service).near, e.now)
	}
	return e.all
}

// start estimates when there is room for count tasks of a step after the claimed places.
// Beyond the expected ends it assumes that room becomes free at the same rate.
func (f *rackForecast) start(sc *Scheduler, s *StepTasks, claimed, count int) (time.Duration, bool) {
	if claimed+count > maxForecastPlaces {
		return 0, false
	}
	if waits := f.waits(sc, s, expectedTickets{}, claimed, count); len(waits) == count {
		return waits[count-1], true
	}
	total := f.waits(sc, s, expectedTickets{}, 0, claimed+count)
	if len(total) < count || total[len(total)-1] <= 0 {
		return 0, false
	}
	last := total[len(total)-1]
	return time.Duration(float64(last) * float64(claimed+count) / float64(len(total))), true
}
