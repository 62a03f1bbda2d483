package leader

import (
	"time"

	"github.com/cranberrywind/cranberrywind/internal/deployment"
	"github.com/cranberrywind/cranberrywind/internal/instance"
	"github.com/cranberrywind/cranberrywind/pkg/timer"
)

const (
	// queueValidity is the time without an answer after which a target's queue is not known. A
	// target that gets few requests because of its queue would otherwise never be measured again.
	queueValidity = 2 * time.Second
	// queueWeight is the weight of a report in the average queue of a target.
	queueWeight = 0.5
	// queueHorizon is the time in which a queue is to reach its wanted length. It is longer than
	// a report and the advice that follows from it take.
	queueHorizon = time.Second
	// objectiveShare is the part of the objective that a request is expected to take at a target
	// whose queue has the wanted length. The rest is for work that takes longer than usual.
	objectiveShare = 0.5
	// minAdmittedUtilization keeps some requests admitted, so that answers tell of the queue.
	minAdmittedUtilization = 0.1
)

// ownerQueue is the average number of requests that wait at a target, as its answers to all
// entries tell. It is immutable.
type ownerQueue struct {
	waiting float64
	at      timer.Instant // of the last report; 0 for none
}

// With returns the queue after a report.
func (q ownerQueue) With(waiting uint32, now timer.Instant) ownerQueue {
	next := ownerQueue{waiting: float64(waiting), at: max(now, 1)}
	if q.known(now) {
		next.waiting = q.waiting + queueWeight*(float64(waiting)-q.waiting)
	}
	return next
}

func (q ownerQueue) known(now timer.Instant) bool { return q.at != 0 && now.Sub(q.at) < queueValidity }

// recordQueue records the queue that a target's answers told an entry.
func (m *Model) recordQueue(incarnation deployment.Incarnation, tl instance.TargetLoad) {
	if tl.Waiting != nil {
		m.queues[incarnation] = m.queues[incarnation].With(*tl.Waiting, m.now)
	}
}

// dropStaleQueues drops the queues that are not known any more.
func (m *Model) dropStaleQueues() {
	for incarnation, q := range m.queues {
		if !q.known(m.now) {
			delete(m.queues, incarnation)
		}
	}
}

// limitedUtilization returns the utilization of a target by requests for its keys up to which
// entries are to admit them, and false if they are to admit all. The queue decides, where
// answers tell of it: rates and service times are estimates, and count requests that the target
// rejects and that callers repeat. The longer a request would wait beyond what leaves time for
// an answer within the objective, the less is admitted.
func (m *Model) limitedUtilization(u targetUsage, objective time.Duration) (float64, bool) {
	admitted := maxAdmittedUtilization
	if q := m.queues[incarnationOf(u.target)]; q.known(m.now) {
		if q.waiting < float64(u.target.Slots) {
			return 0, false
		}
		wait := max(0, q.waiting*u.slotsPerRequest()-m.now.Sub(q.at).Seconds())
		wanted := max(0, objectiveShare*objective.Seconds()-u.serviceTime)
		admitted = min(max(1+(wanted-wait)/queueHorizon.Seconds(), minAdmittedUtilization), maxAdmittedUtilization)
	}
	return admitted, u.utilization() > admitted && !u.boundByLimit()
}

// loggedQueue returns the number of requests that wait at a target, or -1 if it is not known.
func (m *Model) loggedQueue(t deployment.Target) float64 {
	if q := m.queues[incarnationOf(t)]; q.known(m.now) {
		return q.waiting
	}
	return -1
}

// shortestObjectives returns the shortest objective of the routes to each service.
func shortestObjectives(cfg deployment.Config) map[string]time.Duration {
	out := make(map[string]time.Duration)
	for _, r := range cfg.Routes {
		for _, w := range r.Split {
			if d, ok := out[w.Service]; w.Weight > 0 && (!ok || r.Objective < d) {
				out[w.Service] = r.Objective
			}
		}
	}
	return out
}
