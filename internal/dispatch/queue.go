package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cranberrywind/cranberrywind/pkg/timer"
)

// waiter is a request that has no slot yet.
type waiter struct {
	id          RequestID
	level       *level
	returning   bool
	objective   time.Duration
	latestStart timer.Instant // to meet its objective
	limitStart  timer.Instant // it is rejected if it can't start until then
	deadline    timer.Instant
	body        int
	bodyTime    time.Duration
	connectCost float64 // seconds
	excluded    []string
	connected   []string
}

// compareWaiters orders the waiting requests of one level.
func compareWaiters(a, b *waiter) int {
	if a.returning != b.returning {
		if a.returning {
			return -1
		}
		return 1
	}
	return cmp.Compare(a.latestStart, b.latestStart)
}

// level holds the requests of one priority.
type level struct {
	priority int
	inTime   []*waiter // can meet their objective
	late     []*waiter // can't any more
	// accepted is a decaying count of the requests that got a slot or wait for one.
	accepted float64
	// asked and granted are decaying counts of the requests that came and that got a slot,
	// to compare how often priorities are served.
	asked, granted float64
}

const (
	// rateTime is the time over which the rate of accepted requests is averaged. Demand
	// swings within 13 s.
	rateTime = 2 * time.Second
	// shareTime is the time over which the served shares of priorities are compared.
	shareTime = 30 * time.Second
	// maxShareLead is by how much a less urgent priority may be served more often than a
	// more urgent one before its requests may not wait; the bound is 0.05.
	maxShareLead = 0.03
	// minShareCount is the number of requests of a priority from which its share counts.
	minShareCount = 20
	// maxLoad bounds the load of more urgent requests in expected waits.
	maxLoad = 0.9
)

// perSecond returns the rate of accepted requests.
func (l *level) perSecond() float64 { return certain(l.accepted) / rateTime.Seconds() }

// certain returns a count of random events less its standard deviation, so that a few
// requests that come together do not count as a higher demand.
func certain(count float64) float64 { return max(0, count-math.Sqrt(count)) }

func insert(list []*waiter, w *waiter) []*waiter {
	i, _ := slices.BinarySearchFunc(list, w, compareWaiters)
	for i < len(list) && compareWaiters(list[i], w) == 0 {
		i++
	}
	return slices.Insert(list, i, w)
}

func remove(list []*waiter, w *waiter) []*waiter {
	if i := slices.Index(list, w); i >= 0 {
		return slices.Delete(list, i, i+1)
	}
	return list
}

// queue holds the waiting requests: the most urgent first, by priority, then returning
// callers, then by the latest start. Those that can't meet their objective any more go
// behind those of their priority that can, but not behind less urgent ones, which would
// then be served more often.
type queue struct {
	levels []*level // by priority
	byID   map[RequestID]*waiter
	asked  float64 // decaying count of the requests that came
	short  bool    // more requests come than can be served
}

func newQueue() queue { return queue{byID: make(map[RequestID]*waiter)} }

func (q *queue) len() int { return len(q.byID) }

// level returns the level of a priority.
func (q *queue) level(priority int) *level {
	i, ok := slices.BinarySearchFunc(q.levels, priority, func(l *level, p int) int { return cmp.Compare(l.priority, p) })
	if !ok {
		q.levels = slices.Insert(q.levels, i, &level{priority: priority})
	}
	return q.levels[i]
}

// add puts a request among those that can meet their objective, or among the late ones.
func (q *queue) add(w *waiter, late bool) {
	q.byID[w.id] = w
	if late {
		w.level.late = insert(w.level.late, w)
	} else {
		w.level.inTime = insert(w.level.inTime, w)
	}
}

func (q *queue) remove(w *waiter) {
	delete(q.byID, w.id)
	w.level.inTime = remove(w.level.inTime, w)
	w.level.late = remove(w.level.late, w)
}

// walk calls f with the waiting requests in the order in which they get slots, until it
// returns false. f may remove the request that it is called with.
func (q *queue) walk(f func(w *waiter, late bool) bool) {
	for _, l := range q.levels {
		if !walkList(&l.inTime, false, f) {
			return
		}
		if !walkList(&l.late, true, f) {
			return
		}
	}
}

func walkList(list *[]*waiter, late bool, f func(*waiter, bool) bool) bool {
	for i := 0; i < len(*list); {
		w := (*list)[i]
		if !f(w, late) {
			return false
		}
		if i < len(*list) && (*list)[i] == w {
			i++
		}
	}
	return true
}

// ahead returns how many waiting requests go before a new one.
func (q *queue) ahead(w *waiter, late bool) int {
	n := 0
	for _, l := range q.levels {
		switch {
		case l.priority > w.level.priority:
			return n
		case l != w.level || late:
			n += len(l.inTime) + len(l.late)
		default:
			i, _ := slices.BinarySearchFunc(l.inTime, w, compareWaiters)
			n += i
		}
	}
	return n
}

// overtaking returns the rate of the requests that would go before waiting ones of a level
// although they come later.
func (q *queue) overtaking(of *level, late bool) float64 {
	perSecond := 0.0
	for _, l := range q.levels {
		if l.priority < of.priority || l == of && late && q.short {
			perSecond += l.perSecond()
		}
	}
	return perSecond
}

// expireStarts moves the requests whose latest start has passed among the late ones.
func (q *queue) expireStarts(now timer.Instant) {
	for _, l := range q.levels {
		for i := 0; i < len(l.inTime); {
			w := l.inTime[i]
			if now <= w.latestStart {
				i++
				continue
			}
			l.inTime = slices.Delete(l.inTime, i, i+1)
			l.late = insert(l.late, w)
		}
	}
}

// servedTooOften reports whether a level was served more often of late than a more urgent
// one. Its requests may then not wait: with longer objectives than those of more urgent
// ones, they would outlast them.
func (q *queue) servedTooOften(l *level) bool {
	for _, more := range q.levels {
		if more.priority >= l.priority {
			return false
		}
		if min(more.asked, l.asked) >= minShareCount && l.granted/l.asked > more.granted/more.asked+maxShareLead {
			return true
		}
	}
	return false
}

// decay lowers the counts for the time that has passed, and updates whether there is a
// shortage if perSecond requests can be served.
func (q *queue) decay(elapsed time.Duration, perSecond float64) {
	factor := math.Exp(-elapsed.Seconds() / rateTime.Seconds())
	shareFactor := math.Exp(-elapsed.Seconds() / shareTime.Seconds())
	q.asked *= factor
	for _, l := range q.levels {
		l.accepted *= factor
		l.asked *= shareFactor
		l.granted *= shareFactor
	}
	q.short = certain(q.asked) >= perSecond*rateTime.Seconds()
}
